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

// Writes log records as JSON lines to the file, or to standard error if the name is empty.
void initializeLog(const std::string& process, const std::string& file);

// Writes log records as JSON lines to standard output without blocking (see BoundedWriter).
void initializeStandardOutputLog(const std::string& process);

// Number of lines that were dropped because the reader of standard output was too slow.
std::uint64_t droppedLogLines();

// Writes buffered lines to standard output, as many as it accepts without blocking.
void flushLog();

// Writes one log record with the time, level, process, message and the given fields.
void log(LogLevel, std::string_view message, nlohmann::json fields = nlohmann::json::object());

} // namespace ibisgw::adapters
