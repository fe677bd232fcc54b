#include "ibisgw/adapters/KeyFile.h"

#include "ibisgw/adapters/InputFile.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace ibisgw::adapters {

namespace {

constexpr std::size_t maxKeys = 2;

std::optional<SharedKey> parseKey(const std::string& digits)
{
    SharedKey key {};
    if (digits.size() != key.size() * 2)
        return std::nullopt;
    for (std::size_t n = 0; n < key.size(); ++n) {
        std::uint8_t value = 0;
        const auto* first = digits.data() + n * 2;
        const auto [end, ec] = std::from_chars(first, first + 2, value, 16);
        if (ec != std::errc {} || end != first + 2)
            return std::nullopt;
        key[n] = std::byte { value };
    }
    return key;
}

std::optional<std::uint8_t> parseKeyNumber(const std::string& text)
{
    std::uint8_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<KeyRing> parseKeyRing(const nlohmann::json& json)
{
    if (!json.is_object() || !json.contains("keys") || !json["keys"].is_object())
        return std::nullopt;
    if (!json.contains("signing_key") || !json["signing_key"].is_number_unsigned())
        return std::nullopt;
    KeyRing ring;
    ring.signingKey = json["signing_key"].get<std::uint8_t>();
    for (const auto& [name, value] : json["keys"].items()) {
        const auto number = parseKeyNumber(name);
        const auto key = value.is_string() ? parseKey(value.get<std::string>()) : std::nullopt;
        if (!number || !key)
            return std::nullopt;
        ring.keys[*number] = *key;
    }
    if (ring.keys.size() > maxKeys || !ring.keys.contains(ring.signingKey))
        return std::nullopt;
    return ring;
}

} // namespace

core::Result<KeyRing> readKeyFile(const std::string& file)
{
    BOOST_LEAF_AUTO(text, readPrivateFile(file, "key file"));
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (auto ring = parseKeyRing(json))
        return std::move(*ring);
    return core::fail(core::ErrorKind::InvalidInput,
        "key file '" + file + "' needs a signing_key that is one of at most two keys, each of 64 hexadecimal digits");
}

} // namespace ibisgw::adapters
