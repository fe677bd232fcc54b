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

// Sends log records as JSON lines to standard output, without ever waiting for its reader.
void initializeStandardOutputLog(const std::string& process);

// Lines that standard output did not take and that were dropped.
std::uint64_t droppedLogLines();

// Writes lines that the reader of standard output did not take earlier.
void flushLog();

// Writes one record; the fields are added to time, level, process and message.
void log(LogLevel, std::string_view message, nlohmann::json fields = nlohmann::json::object());

} // namespace ibisgw::adapters
