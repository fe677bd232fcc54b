#pragma once

#include "ibisgw/configuration/Snapshot.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace ibisgw::adapters::detail {

// Arrays that messages and stored records share. The readers are empty for malformed input.
nlohmann::json toJson(const configuration::Membership&);
nlohmann::json toJson(const configuration::LogEntry&);
nlohmann::json toJson(const configuration::Snapshot&);
std::optional<configuration::Membership> readMembership(const nlohmann::json&);
std::optional<configuration::LogEntry> readLogEntry(const nlohmann::json&);
std::optional<configuration::Snapshot> readSnapshot(const nlohmann::json&);

nlohmann::json binaryJson(std::string_view);

// Discarded for malformed or trailing bytes.
nlohmann::json parseCbor(std::string_view);
std::string writeCbor(const nlohmann::json&);

} // namespace ibisgw::adapters::detail
