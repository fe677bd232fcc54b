#include "ibisgw/adapters/ApiTokens.h"

#include "ibisgw/adapters/InputFile.h"
#include "ibisgw/core/JsonText.h"
#include "ibisgw/core/ObjectReader.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <set>

namespace ibisgw::adapters {

namespace {

// 128 bits in hexadecimal digits; shorter tokens can be guessed.
constexpr std::size_t minTokenBytes = 32;

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view organizationPrefix = "organization:";

struct TokenEntry {
    std::string token;
    std::string name;
    std::string scope;
};

void checkEntry(core::ObjectReader& reader, const TokenEntry& entry)
{
    if (!entry.token.empty() && entry.token.size() < minTokenBytes)
        reader.report("token", "has fewer than 32 characters; create one with: openssl rand -hex 32");
    const std::string_view scope = entry.scope;
    const bool isOrganization
        = scope.starts_with(organizationPrefix) && core::isName(scope.substr(organizationPrefix.size()));
    if (!scope.empty() && scope != "system" && !isOrganization)
        reader.report("scope", "must be \"system\" or \"organization:NAME\"");
}

std::vector<TokenEntry> readEntries(const nlohmann::json& json, std::vector<core::Problem>& problems)
{
    std::vector<TokenEntry> entries;
    std::set<std::string> tokens;
    core::ObjectReader reader(json, "", problems);
    reader.readObjects("tokens", core::Presence::Required, [&](core::ObjectReader& itemReader) {
        TokenEntry entry;
        itemReader.readText("token", entry.token, core::Presence::Required);
        itemReader.readName("name", entry.name, core::Presence::Required);
        itemReader.readText("scope", entry.scope, core::Presence::Required);
        checkEntry(itemReader, entry);
        if (!tokens.insert(entry.token).second)
            itemReader.report("token", "is listed twice; give each caller its own token");
        entries.push_back(std::move(entry));
    });
    reader.finish();
    if (entries.empty() && problems.empty())
        problems.push_back({ "/tokens", "is empty; list at least one token" });
    return entries;
}

} // namespace

std::string ApiCaller::author() const
{
    return hasSystemScope() ? name : organization + "/" + name;
}

core::Result<ApiTokens> ApiTokens::readFile(const std::string& file)
{
    BOOST_LEAF_AUTO(text, readPrivateFile(file, "token file"));
    std::vector<core::Problem> problems;
    std::vector<TokenEntry> entries;
    if (const auto json = core::parseJson(text, problems))
        entries = readEntries(*json, problems);
    if (!problems.empty()) {
        std::string message = "token file '" + file + "':";
        for (const auto& it : problems)
            message.append(" ").append(it.path).append(": ").append(it.message).append(";");
        return core::fail(core::ErrorKind::InvalidInput, message);
    }
    ApiTokens tokens;
    for (const auto& it : entries) {
        const auto organization = it.scope == "system" ? "" : it.scope.substr(organizationPrefix.size());
        tokens.m_entries.push_back({ digestOf(it.token), { it.name, organization } });
    }
    return tokens;
}

std::optional<ApiCaller> ApiTokens::authenticate(std::string_view authorization) const
{
    if (!authorization.starts_with(bearerPrefix))
        return std::nullopt;
    const auto digest = digestOf(authorization.substr(bearerPrefix.size()));
    const ApiCaller* found = nullptr;
    // Compares with every entry even after a match, so that the duration does not depend on the token.
    for (const auto& it : m_entries) {
        if (CRYPTO_memcmp(digest.data(), it.digest.data(), digest.size()) == 0)
            found = &it.caller;
    }
    return found ? std::optional(*found) : std::nullopt;
}

ApiTokens::Digest ApiTokens::digestOf(std::string_view token)
{
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest.data());
    return digest;
}

} // namespace ibisgw::adapters
