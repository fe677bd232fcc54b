#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace ibisgw::adapters::detail {

// Writes CBOR items into a bounded buffer with the streaming encoder of libcbor. Allocates no memory once the buffer
// has its full capacity. Errors are sticky and reported by finish().
class CborWriter {
public:
    CborWriter(std::vector<std::byte>& buffer, std::size_t maxBytes);

    // Starts an array; its elements are the next `count` items.
    void arrayOf(std::size_t count);
    void number(std::uint64_t value);
    void bytes(std::span<const std::byte>);
    void text(std::string_view);

    // Resizes the buffer to the bytes written. Returns false, with an empty buffer, when an item did not fit.
    bool finish();

private:
    unsigned char* writePosition();
    std::size_t remainingBytes() const;
    void advance(std::size_t n);
    void append(const void* data, std::size_t n);

    std::vector<std::byte>& m_buffer;
    std::size_t m_writtenBytes { 0 };
    bool m_failed { false };
};

} // namespace ibisgw::adapters::detail
