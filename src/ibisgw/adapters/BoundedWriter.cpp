#include "ibisgw/adapters/BoundedWriter.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace ibisgw::adapters {

BoundedWriter::BoundedWriter(int fd, std::size_t maxBufferedBytes)
    : m_fd(fd)
    , m_maxBufferedBytes(maxBufferedBytes)
{
}

void BoundedWriter::write(std::string_view line)
{
    if (m_buffer.size() + line.size() + 1 > m_maxBufferedBytes)
        flush();
    if (m_buffer.size() + line.size() + 1 > m_maxBufferedBytes) {
        ++m_droppedLines;
        return;
    }
    m_buffer.append(line).push_back('\n');
    flush();
}

// A write of up to PIPE_BUF bytes to a writable pipe does not block (POSIX, write). The descriptor is not set to
// O_NONBLOCK, because that would affect other processes that share its open file description.
void BoundedWriter::flush()
{
    while (!m_buffer.empty() && isWritable()) {
        const auto n = ::write(m_fd, m_buffer.data(), std::min<std::size_t>(m_buffer.size(), PIPE_BUF));
        if (n <= 0)
            return;
        m_buffer.erase(0, static_cast<std::size_t>(n));
    }
}

bool BoundedWriter::isWritable() const
{
    pollfd entry { m_fd, POLLOUT, 0 };
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace ibisgw::adapters
