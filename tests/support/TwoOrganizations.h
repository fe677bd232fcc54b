#pragma once

#include <nlohmann/json.hpp>

namespace support {

// A valid document with one service for each of two organizations.
inline nlohmann::json twoOrganizations()
{
    return nlohmann::json::parse(R"({
        "organizations": [{"name": "peachtree"}, {"name": "gravurwerk"}],
        "zones": [{"name": "bern", "region": "ch-mittelland"}],
        "services": [
            {"name": "atelier", "organization": "gravurwerk", "addresses": ["127.0.0.1:4430"],
             "kinds": [{"id": 1, "name": "progress"}]},
            {"name": "slotdesk", "organization": "peachtree", "addresses": ["127.0.0.1:4431"],
             "kinds": [{"id": 2, "name": "booking"}]}
        ]
    })");
}

} // namespace support
