#include "ibisgw/adapters/FlowRecordCodec.h"

#include "ibisgw/adapters/detail/CborReader.h"
#include "ibisgw/adapters/detail/CborWriter.h"

namespace ibisgw::adapters {

namespace {

// Three CBOR integers of at most 9 bytes each.
constexpr std::size_t maxRecordBytes = 27;

} // namespace

std::vector<std::uint8_t> encodeFlowRecord(const flow::FlowRecord& record)
{
    std::vector<std::byte> buf;
    detail::CborWriter writer(buf, maxRecordBytes);
    writer.number(record.flowHash);
    writer.number(record.upstream.value);
    writer.number(record.sequence);
    writer.finish();
    const auto* first = reinterpret_cast<const std::uint8_t*>(buf.data());
    return { first, first + buf.size() };
}

std::optional<flow::FlowRecord> decodeFlowRecord(const std::vector<std::uint8_t>& bytes, core::NodeId origin)
{
    detail::CborReader reader(std::as_bytes(std::span(bytes)));
    flow::FlowRecord record;
    record.flowHash = reader.number();
    record.upstream.value = reader.number();
    record.sequence = reader.number();
    record.origin = origin;
    if (!reader.finished())
        return std::nullopt;
    return record;
}

} // namespace ibisgw::adapters
