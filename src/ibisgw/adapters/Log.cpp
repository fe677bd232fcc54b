#include "ibisgw/adapters/Log.h"

#include "ibisgw/adapters/BoundedWriter.h"
#include "ibisgw/adapters/WallClock.h"
#include "ibisgw/core/JsonText.h"
#include "ibisgw/core/NameTable.h"

#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <boost/make_shared.hpp>

#include <iostream>
#include <unistd.h>

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

BoundedWriter& standardOutput()
{
    static BoundedWriter instance(STDOUT_FILENO);
    return instance;
}

class StandardOutputBackend final
    : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::concurrent_feeding> {
public:
    // Called by Boost.Log, which requires this name.
    void consume(const boost::log::record_view&, const string_type& line) { standardOutput().write(line); }
};

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

void initializeStandardOutputLog(const std::string& process)
{
    processName() = process;
    using Sink = boost::log::sinks::unlocked_sink<StandardOutputBackend>;
    auto sink = boost::make_shared<Sink>();
    sink->set_formatter([](const boost::log::record_view& record, boost::log::formatting_ostream& stream) {
        if (const auto message = record[boost::log::aux::default_attribute_names::message()].extract<std::string>())
            stream << *message;
    });
    boost::log::core::get()->add_sink(sink);
}

std::uint64_t droppedLogLines()
{
    return standardOutput().droppedLines();
}

void flushLog()
{
    standardOutput().flush();
}

void log(LogLevel level, std::string_view message, nlohmann::json fields)
{
    constexpr double microsecondsPerSecond = 1e6;
    fields["time"] = static_cast<double>(wallClockMicroseconds()) / microsecondsPerSecond;
    fields["level"] = levelNames.nameOf(level);
    fields["process"] = processName();
    fields["message"] = message;
    BOOST_LOG(logger()) << core::formatJson(fields);
}

} // namespace ibisgw::adapters
