#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ibisgw::adapters {

// Writes lines to a descriptor without ever waiting for its reader. Lines wait in a bounded buffer while the reader
// is slow; whole lines that do not fit are dropped and counted.
class BoundedWriter {
public:
    explicit BoundedWriter(int fd, std::size_t maxBufferedBytes = std::size_t { 64 } * 1024);

    // Adds one line, without its end, and writes what the reader takes now.
    void write(std::string_view line);
    // Writes what the reader takes now. Call from time to time, so that the last lines do not stay in the buffer.
    void flush();

    std::uint64_t droppedLines() const { return m_droppedLines; }
    std::size_t bufferedBytes() const { return m_buffer.size(); }

private:
    bool isWritable() const;

    int m_fd;
    std::size_t m_maxBufferedBytes;
    std::string m_buffer;
    std::uint64_t m_droppedLines { 0 };
};

} // namespace ibisgw::adapters
