#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibisgw::adapters::detail {

enum class RecordType : std::uint32_t {
    Identity = 1,
    Vote = 2,
    Entry = 3,
    Truncation = 4,
    Snapshot = 5,
    Commit = 6,
    Departures = 7,
};

// One record of a file. The encoded record consists of magic, type, length, checksum of the payload,
// checksum of the header, and payload. The header has its own checksum, because a damaged length would
// otherwise make the rest of the file look like a torn tail.
struct LogRecord {
    RecordType type { RecordType::Identity };
    std::string_view payload;
};

inline constexpr std::size_t recordHeaderBytes = 28;

std::string encodeRecord(RecordType, std::string_view payload);

enum class RecordStatus : std::uint8_t {
    Valid,
    End,
    // The rest of the file contains no complete record, as after an interrupted write.
    TornTail,
    // The record is damaged, and complete records follow it.
    Damaged,
};

// Reads the records of a file from its content in memory.
class LogRecordReader {
public:
    explicit LogRecordReader(std::string_view file);

    RecordStatus next(LogRecord&);
    std::size_t position() const { return m_position; }

private:
    bool parseAt(std::size_t, LogRecord&) const;

    std::string_view m_file;
    std::size_t m_position { 0 };
};

} // namespace ibisgw::adapters::detail
