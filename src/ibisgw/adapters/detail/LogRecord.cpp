#include "ibisgw/adapters/detail/LogRecord.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <boost/endian/conversion.hpp>

#include <cstring>

namespace ibisgw::adapters::detail {

namespace {

// The characters "IBRL" in the little-endian byte order of the file.
constexpr std::uint32_t recordMagic = 0x4c524249;
// Not zero, so that a page of zeros never has a valid checksum.
constexpr std::uint64_t checksumSeed = 0x1b15'6a7e;
// Bytes of the header that its checksum covers.
constexpr std::size_t checkedHeaderBytes = 20;

template <typename Number> void put(std::string& out, Number value)
{
    unsigned char bytes[sizeof(Number)];
    boost::endian::endian_store<Number, sizeof(Number), boost::endian::order::little>(bytes, value);
    out.append(bytes, bytes + sizeof bytes);
}

template <typename Number> Number get(std::string_view bytes, std::size_t offset)
{
    const auto* source = reinterpret_cast<const unsigned char*>(bytes.data() + offset);
    return boost::endian::endian_load<Number, sizeof(Number), boost::endian::order::little>(source);
}

std::uint64_t checksum(std::string_view bytes)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), checksumSeed);
}

} // namespace

std::string encodeRecord(RecordType type, std::string_view payload)
{
    std::string record;
    record.reserve(recordHeaderBytes + payload.size());
    put(record, recordMagic);
    put(record, static_cast<std::uint32_t>(type));
    put(record, static_cast<std::uint32_t>(payload.size()));
    put(record, checksum(payload));
    put(record, checksum(record));
    record.append(payload);
    return record;
}

LogRecordReader::LogRecordReader(std::string_view file)
    : m_file(file)
{
}

RecordStatus LogRecordReader::next(LogRecord& record)
{
    if (m_position == m_file.size())
        return RecordStatus::End;
    if (parseAt(m_position, record)) {
        m_position += recordHeaderBytes + record.payload.size();
        return RecordStatus::Valid;
    }
    LogRecord later;
    for (std::size_t position = m_position + 1; position + recordHeaderBytes <= m_file.size(); ++position) {
        if (parseAt(position, later))
            return RecordStatus::Damaged;
    }
    return RecordStatus::TornTail;
}

bool LogRecordReader::parseAt(std::size_t position, LogRecord& record) const
{
    const auto rest = m_file.substr(position);
    if (rest.size() < recordHeaderBytes || get<std::uint32_t>(rest, 0) != recordMagic)
        return false;
    if (get<std::uint64_t>(rest, checkedHeaderBytes) != checksum(rest.substr(0, checkedHeaderBytes)))
        return false;
    const auto length = get<std::uint32_t>(rest, 8);
    if (rest.size() - recordHeaderBytes < length)
        return false;
    record.type = static_cast<RecordType>(get<std::uint32_t>(rest, 4));
    record.payload = rest.substr(recordHeaderBytes, length);
    return get<std::uint64_t>(rest, 12) == checksum(record.payload);
}

} // namespace ibisgw::adapters::detail
