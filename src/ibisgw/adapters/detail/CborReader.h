#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>

namespace ibisgw::adapters::detail {

// Reads a sequence of CBOR items with the streaming decoder of libcbor. Errors are sticky: after the first one every
// call returns an empty value, so the calling code needs to check for errors only once, at the end.
class CborReader {
public:
    explicit CborReader(std::span<const std::byte>);

    // Number of elements of a definite-length array.
    std::size_t arrayStart();
    // An unsigned integer of at most the given value.
    std::uint64_t number(std::uint64_t maxValue = std::numeric_limits<std::uint64_t>::max());
    // The returned span points into the input.
    std::span<const std::byte> bytes();
    // A text string of at most `maxBytes`.
    std::string text(std::size_t maxBytes);

    bool failed() const { return m_failed; }
    // Whether all items were well-formed and no bytes follow them.
    bool finished() const { return !m_failed && m_remaining.empty(); }

private:
    enum class ItemType {
        None,
        Number,
        Array,
        Bytes,
        Text,
    };
    struct Item {
        ItemType type { ItemType::None };
        std::uint64_t value { 0 };
        std::span<const std::byte> data;
    };
    struct Callbacks;

    Item readItem(ItemType expected);

    std::span<const std::byte> m_remaining;
    bool m_failed { false };
};

} // namespace ibisgw::adapters::detail
