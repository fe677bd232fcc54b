#pragma once

#include "ibisgw/core/Error.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisgw::adapters {

// Identity of an API caller and the scope of its permissions.
struct ApiCaller {
    std::string name;
    // The organization whose services the caller may see and change; empty for the whole system.
    std::string organization;

    bool hasSystemScope() const { return organization.empty(); }
    // Author of the caller's submissions in the history: "<organization>/<name>", or the name alone if the
    // scope is the whole system.
    std::string author() const;
};

// Bearer tokens of the administration API. Stores only their SHA-256 digests.
class ApiTokens {
public:
    // Reads `{"tokens": [{"token": ..., "name": ..., "scope": "system" or "organization:NAME"}]}`.
    // Fails if users other than the owner can access the file.
    static core::Result<ApiTokens> readFile(const std::string& file);

    // Returns the caller for the value of an Authorization header, or nothing if the token is unknown. The
    // comparison takes constant time, so that its duration does not reveal how much of a guessed token is
    // correct.
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
