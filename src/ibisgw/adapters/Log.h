#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace ibisgw::adapters {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// Sends log records as JSON lines to the file, or to standard error when the name is empty.
void initializeLog(const std::string& process, const std::string& file);

// Writes one record; the fields are added to time, level, process and message.
void log(LogLevel, std::string_view message, nlohmann::json fields = nlohmann::json::object());

} // namespace ibisgw::adapters
