#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>

namespace ibisgw::adapters::detail {

// Reads CBOR items one after another through libcbor's streaming decoder. Errors are sticky:
// after the first one every call returns an empty value, so a reader checks once at the end.
class CborReader {
public:
    explicit CborReader(std::span<const std::byte>);

    // Number of elements of a definite-length array.
    std::size_t arrayStart();
    // An unsigned integer of at most the given value.
    std::uint64_t number(std::uint64_t maxValue = std::numeric_limits<std::uint64_t>::max());
    // Points into the input.
    std::span<const std::byte> bytes();
    std::string text(std::size_t maxBytes);

    bool failed() const { return m_failed; }
    // True when all items were well formed and nothing follows them.
    bool finished() const { return !m_failed && m_rest.empty(); }

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

    Item next(ItemType expected);

    std::span<const std::byte> m_rest;
    bool m_failed { false };
};

} // namespace ibisgw::adapters::detail
