#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace ibisgw::adapters::detail {

// Writes CBOR items into a bounded buffer through libcbor's streaming encoder, without allocating
// once the buffer has its full capacity. Errors are sticky and reported by finish().
class CborWriter {
public:
    CborWriter(std::vector<std::byte>& buffer, std::size_t maxBytes);

    void arrayOf(std::size_t count);
    void number(std::uint64_t value);
    void bytes(std::span<const std::byte>);
    void text(std::string_view);

    // Shrinks the buffer to what was written; false when something did not fit.
    bool finish();

private:
    unsigned char* cursor();
    std::size_t room() const;
    void advance(std::size_t n);
    void append(const void* data, std::size_t n);

    std::vector<std::byte>& m_buffer;
    std::size_t m_used { 0 };
    bool m_failed { false };
};

} // namespace ibisgw::adapters::detail
