#include "ibisgw/adapters/DepartureLog.h"

#include "ibisgw/adapters/SyncCodec.h"
#include "ibisgw/adapters/detail/DurableFile.h"
#include "ibisgw/adapters/detail/LogRecord.h"

#include <cerrno>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace ibisgw::adapters {

namespace {

constexpr auto fileName = "departures";

} // namespace

DepartureLog::DepartureLog(const std::string& folder)
    : m_folder(folder)
    , m_file(folder + "/" + fileName)
{
}

DepartureLog::~DepartureLog()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

std::vector<upstream::InstanceReport> DepartureLog::load() const
{
    return read().reports;
}

DepartureLog::Contents DepartureLog::read() const
{
    std::ifstream in(m_file, std::ios::binary);
    const std::string bytes { std::istreambuf_iterator<char>(in), {} };
    detail::LogRecordReader reader(bytes);
    detail::LogRecord record;
    Contents contents;
    while (reader.next(record) == detail::RecordStatus::Valid) {
        const auto message = decodeSyncMessage(record.payload);
        const auto* update = message ? std::get_if<sync::DirectoryUpdate>(&*message) : nullptr;
        if (record.type != detail::RecordType::Departures || !update)
            break;
        for (const auto& it : update->items)
            contents.reports.push_back(it.report);
        contents.bytes = reader.position();
    }
    return contents;
}

core::Result<void> DepartureLog::append(std::span<const upstream::InstanceReport> reports)
{
    BOOST_LEAF_CHECK(open());
    sync::DirectoryUpdate update;
    for (const auto& it : reports)
        update.items.push_back({ it });
    const auto bytes = detail::encodeRecord(detail::RecordType::Departures, encodeSyncMessage(std::move(update)));
    const auto end = ::lseek(m_descriptor, 0, SEEK_END);
    if (auto written = detail::writeAll(m_descriptor, m_file, bytes); !written) {
        // Removes the incomplete record, because load() would not read any record after it.
        if (::ftruncate(m_descriptor, end) != 0)
            return closeAfterFailure("truncation");
        return written.error();
    }
    if (::fdatasync(m_descriptor) != 0)
        return closeAfterFailure("sync");
    return {};
}

core::Result<void> DepartureLog::clear()
{
    if (m_descriptor < 0 && ::access(m_file.c_str(), F_OK) != 0)
        return {};
    BOOST_LEAF_CHECK(open());
    if (::ftruncate(m_descriptor, 0) != 0)
        return closeAfterFailure("truncation");
    return {};
}

core::Result<void> DepartureLog::open()
{
    if (m_descriptor >= 0)
        return {};
    const int flags = O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC;
    m_descriptor = ::open(m_file.c_str(), flags, detail::privateFileMode);
    if (m_descriptor < 0)
        return detail::ioFailure(m_file, "open", errno);
    if (auto prepared = prepareFile(); !prepared) {
        ::close(m_descriptor);
        m_descriptor = -1;
        return prepared.error();
    }
    return {};
}

core::Result<void> DepartureLog::prepareFile()
{
    // Removes the rest of an interrupted write, because load() would not read any record after it.
    if (::ftruncate(m_descriptor, static_cast<off_t>(read().bytes)) != 0)
        return detail::ioFailure(m_file, "truncation", errno);
    // The directory entry of a new file must be durable, too.
    return detail::syncFolder(m_folder);
}

// Closes the file, because its state is unknown after a failed sync or truncation; the next operation reopens it.
core::Result<void> DepartureLog::closeAfterFailure(const std::string& operation)
{
    const int number = errno;
    ::close(m_descriptor);
    m_descriptor = -1;
    return detail::ioFailure(m_file, operation, number);
}

} // namespace ibisgw::adapters
