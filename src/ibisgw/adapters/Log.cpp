#include "ibisgw/adapters/Log.h"

#include "ibisgw/core/NameTable.h"

#include <boost/log/core.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>

#include <chrono>
#include <iostream>

namespace ibisgw::adapters {

namespace {

constexpr core::NameTable<LogLevel, 4> levelNames { {
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
} };

std::string& processName()
{
    static std::string name;
    return name;
}

boost::log::sources::logger& logger()
{
    static boost::log::sources::logger instance;
    return instance;
}

double wallClockSeconds()
{
    using namespace std::chrono;
    return duration<double>(system_clock::now().time_since_epoch()).count();
}

} // namespace

void initializeLog(const std::string& process, const std::string& file)
{
    namespace keywords = boost::log::keywords;
    processName() = process;
    if (file.empty())
        boost::log::add_console_log(std::clog, keywords::format = "%Message%", keywords::auto_flush = true);
    else
        boost::log::add_file_log(keywords::file_name = file, keywords::open_mode = std::ios::app,
            keywords::format = "%Message%", keywords::auto_flush = true);
}

void log(LogLevel level, std::string_view message, nlohmann::json fields)
{
    fields["time"] = wallClockSeconds();
    fields["level"] = levelNames.nameOf(level);
    fields["process"] = processName();
    fields["message"] = message;
    BOOST_LOG(logger()) << fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace ibisgw::adapters
