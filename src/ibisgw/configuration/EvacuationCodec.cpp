#include "ibisgw/configuration/EvacuationCodec.h"

#include <boost/endian/conversion.hpp>

#include <optional>

namespace ibisgw::configuration {

namespace {

constexpr std::uint8_t formatNumber = 1;

template <typename Integer> void append(std::string& bytes, Integer value)
{
    const auto bigEndian = boost::endian::native_to_big(value);
    bytes.append(reinterpret_cast<const char*>(&bigEndian), sizeof bigEndian);
}

// Removes an integer from the front of the bytes; empty if there are too few.
template <typename Integer> std::optional<Integer> take(std::string_view& bytes)
{
    if (bytes.size() < sizeof(Integer))
        return std::nullopt;
    const auto* data = reinterpret_cast<const unsigned char*>(bytes.data());
    bytes.remove_prefix(sizeof(Integer));
    return boost::endian::endian_load<Integer, sizeof(Integer), boost::endian::order::big>(data);
}

std::optional<core::ZoneName> takeZone(std::string_view& bytes)
{
    const auto size = take<std::uint16_t>(bytes);
    if (!size || *size == 0 || *size > maxZoneNameBytes || *size > bytes.size())
        return std::nullopt;
    core::ZoneName zone(bytes.substr(0, *size));
    bytes.remove_prefix(*size);
    return zone;
}

std::optional<upstream::ZoneEvacuations> tryDecode(std::string_view bytes)
{
    if (take<std::uint8_t>(bytes) != formatNumber)
        return std::nullopt;
    const auto revision = take<std::uint64_t>(bytes);
    const auto count = take<std::uint16_t>(bytes);
    if (!revision || *revision == 0 || !count || *count > maxEvacuatedZones)
        return std::nullopt;
    upstream::ZoneEvacuations evacuations { *revision, {} };
    for (std::size_t n = 0; n < *count; ++n) {
        auto zone = takeZone(bytes);
        if (!zone)
            return std::nullopt;
        evacuations.zones.push_back(std::move(*zone));
    }
    if (!bytes.empty() || !evacuations.isOrdered())
        return std::nullopt;
    return evacuations;
}

} // namespace

std::string encodeEvacuations(const upstream::ZoneEvacuations& evacuations)
{
    std::string bytes;
    append(bytes, formatNumber);
    append(bytes, evacuations.revision);
    append(bytes, static_cast<std::uint16_t>(evacuations.zones.size()));
    for (const auto& it : evacuations.zones) {
        append(bytes, static_cast<std::uint16_t>(it.size()));
        bytes += it;
    }
    return bytes;
}

core::Result<upstream::ZoneEvacuations> decodeEvacuations(std::string_view bytes)
{
    auto evacuations = tryDecode(bytes);
    if (!evacuations)
        return core::fail(core::ErrorKind::DataCorrupted,
            "the set of evacuated zones is malformed; empty the data folder of this controller and restart it: it "
            "rejoins as a learner");
    return std::move(*evacuations);
}

} // namespace ibisgw::configuration
