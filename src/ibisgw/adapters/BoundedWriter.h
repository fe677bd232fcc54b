#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ibisgw::adapters {

// Writes lines to a descriptor without blocking. Lines that the descriptor does not accept yet are kept in a bounded
// buffer; lines that do not fit into it are dropped as a whole and counted.
class BoundedWriter {
public:
    explicit BoundedWriter(int fd, std::size_t maxBufferedBytes = std::size_t { 64 } * 1024);

    // Appends a line, which is passed without its line break, and calls flush().
    void write(std::string_view line);
    // Writes as much of the buffer as the descriptor accepts now. Must be called periodically, because otherwise the
    // last lines stay in the buffer until the next write.
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
