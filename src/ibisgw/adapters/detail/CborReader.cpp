#include "ibisgw/adapters/detail/CborReader.h"

#include <cbor.h>

namespace ibisgw::adapters::detail {

struct CborReader::Callbacks {
    template <typename Integer> static void onNumber(void* context, Integer value)
    {
        *static_cast<Item*>(context) = { ItemType::Number, value, {} };
    }

    static void onArray(void* context, std::size_t count)
    {
        *static_cast<Item*>(context) = { ItemType::Array, count, {} };
    }

    static void onBytes(void* context, cbor_data data, std::size_t n)
    {
        *static_cast<Item*>(context) = { ItemType::Bytes, 0, { reinterpret_cast<const std::byte*>(data), n } };
    }

    static void onText(void* context, cbor_data data, std::size_t n)
    {
        *static_cast<Item*>(context) = { ItemType::Text, 0, { reinterpret_cast<const std::byte*>(data), n } };
    }

    static cbor_callbacks make()
    {
        auto callbacks = cbor_empty_callbacks;
        callbacks.uint8 = onNumber<std::uint8_t>;
        callbacks.uint16 = onNumber<std::uint16_t>;
        callbacks.uint32 = onNumber<std::uint32_t>;
        callbacks.uint64 = onNumber<std::uint64_t>;
        callbacks.array_start = onArray;
        callbacks.byte_string = onBytes;
        callbacks.string = onText;
        return callbacks;
    }
};

CborReader::CborReader(std::span<const std::byte> input)
    : m_remaining(input)
{
}

CborReader::Item CborReader::readItem(ItemType expected)
{
    static const cbor_callbacks callbacks = Callbacks::make();
    if (m_failed)
        return {};
    Item item;
    const auto result
        = cbor_stream_decode(reinterpret_cast<cbor_data>(m_remaining.data()), m_remaining.size(), &callbacks, &item);
    if (result.status != CBOR_DECODER_FINISHED || item.type != expected) {
        m_failed = true;
        return {};
    }
    m_remaining = m_remaining.subspan(result.read);
    return item;
}

std::size_t CborReader::arrayStart()
{
    return readItem(ItemType::Array).value;
}

std::uint64_t CborReader::number(std::uint64_t maxValue)
{
    const auto item = readItem(ItemType::Number);
    if (item.value > maxValue) {
        m_failed = true;
        return 0;
    }
    return item.value;
}

std::span<const std::byte> CborReader::bytes()
{
    return readItem(ItemType::Bytes).data;
}

std::string CborReader::text(std::size_t maxBytes)
{
    const auto item = readItem(ItemType::Text);
    if (item.data.size() > maxBytes) {
        m_failed = true;
        return {};
    }
    return { reinterpret_cast<const char*>(item.data.data()), item.data.size() };
}

} // namespace ibisgw::adapters::detail
