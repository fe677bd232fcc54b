#include "ibisgw/adapters/detail/CborWriter.h"

#include <cbor.h>
#include <cstring>

namespace ibisgw::adapters::detail {

CborWriter::CborWriter(std::vector<std::byte>& buffer, std::size_t maxBytes)
    : m_buffer(buffer)
{
    m_buffer.resize(maxBytes);
}

void CborWriter::arrayOf(std::size_t count)
{
    advance(cbor_encode_array_start(count, writePosition(), remainingBytes()));
}

void CborWriter::number(std::uint64_t value)
{
    advance(cbor_encode_uint(value, writePosition(), remainingBytes()));
}

void CborWriter::bytes(std::span<const std::byte> data)
{
    advance(cbor_encode_bytestring_start(data.size(), writePosition(), remainingBytes()));
    append(data.data(), data.size());
}

void CborWriter::text(std::string_view data)
{
    advance(cbor_encode_string_start(data.size(), writePosition(), remainingBytes()));
    append(data.data(), data.size());
}

bool CborWriter::finish()
{
    m_buffer.resize(m_failed ? 0 : m_writtenBytes);
    return !m_failed;
}

unsigned char* CborWriter::writePosition()
{
    return reinterpret_cast<unsigned char*>(m_buffer.data()) + m_writtenBytes;
}

std::size_t CborWriter::remainingBytes() const
{
    return m_buffer.size() - m_writtenBytes;
}

void CborWriter::advance(std::size_t n)
{
    // libcbor returns 0 when the item does not fit.
    if (n == 0)
        m_failed = true;
    m_writtenBytes += n;
}

void CborWriter::append(const void* data, std::size_t n)
{
    if (m_failed || n > remainingBytes()) {
        m_failed = true;
        return;
    }
    if (n > 0)
        std::memcpy(writePosition(), data, n);
    m_writtenBytes += n;
}

} // namespace ibisgw::adapters::detail
