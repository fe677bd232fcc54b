#pragma once

#include "ibisgw/core/Error.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisgw::adapters {

// Who calls the API and what they may see and change.
struct ApiCaller {
    std::string name;
    // Empty: the whole system.
    std::string organization;

    bool hasWholeSystem() const { return organization.empty(); }
    // Name in the history: "<organization>/<name>", or the name alone for the whole system.
    std::string author() const;
};

// Bearer tokens of the administration API. Keeps only their SHA-256 digests.
class ApiTokens {
public:
    // Reads `{"tokens": [{"token": ..., "name": ..., "scope": "system" or "organization:NAME"}]}`.
    // Refuses a file that other users can access.
    static core::Result<ApiTokens> readFile(const std::string& file);

    // Takes the value of an Authorization header. The comparison takes the same time for every token,
    // so that its duration does not reveal how much of a guess is right.
    std::optional<ApiCaller> authenticate(std::string_view authorization) const;

private:
    using Digest = std::array<unsigned char, 32>;
    struct Entry {
        Digest digest;
        ApiCaller caller;
    };

    static Digest digestOf(std::string_view token);

    std::vector<Entry> m_entries;
};

} // namespace ibisgw::adapters
