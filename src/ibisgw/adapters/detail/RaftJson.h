#pragma once

#include "ibisgw/configuration/Snapshot.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace ibisgw::adapters::detail {

// Conversion of Raft types to and from the JSON arrays that Raft messages and the records of the log store share. The
// read functions return nothing for malformed input.
nlohmann::json toJson(const configuration::Membership&);
nlohmann::json toJson(const configuration::LogEntry&);
nlohmann::json toJson(const configuration::Snapshot&);
std::optional<configuration::Membership> readMembership(const nlohmann::json&);
std::optional<configuration::LogEntry> readLogEntry(const nlohmann::json&);
std::optional<configuration::Snapshot> readSnapshot(const nlohmann::json&);

// A byte string.
nlohmann::json binaryJson(std::string_view);

// Returns a value of type `discarded` for input that is malformed, nested too deeply or followed by trailing bytes.
nlohmann::json parseCbor(std::string_view);
std::string writeCbor(const nlohmann::json&);

} // namespace ibisgw::adapters::detail
