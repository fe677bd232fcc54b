#include "ibisgw/configuration/RegisterState.h"

#include "ibisgw/configuration/EvacuationCodec.h"

#include <boost/endian/conversion.hpp>

namespace ibisgw::configuration {

namespace {

constexpr std::size_t versionBytes = sizeof(std::uint64_t);
constexpr std::size_t sizeBytes = sizeof(std::uint32_t);

std::string encodeNumber(std::uint64_t number)
{
    std::string bytes(versionBytes, '\0');
    boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(bytes.data()), number);
    return bytes;
}

std::string encodeSize(std::size_t size)
{
    std::string bytes(sizeBytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<std::uint32_t>(size));
    return bytes;
}

// Big-endian version followed by the text.
std::string encodeState(std::uint64_t version, const std::string& text)
{
    return encodeNumber(version) + text;
}

std::optional<std::uint64_t> readVersion(std::string_view bytes)
{
    if (bytes.size() < versionBytes)
        return std::nullopt;
    return boost::endian::load_big_u64(reinterpret_cast<const unsigned char*>(bytes.data()));
}

core::Result<void> failAsMalformed()
{
    return core::fail(core::ErrorKind::DataCorrupted,
        "the snapshot of the configuration is malformed; empty the data folder of this controller and restart it: "
        "it rejoins as a learner");
}

} // namespace

std::string RegisterState::encode(std::uint64_t version, const std::string& text)
{
    return encodeState(version, text);
}

std::string RegisterState::encode(const upstream::ZoneEvacuations& evacuations)
{
    return encodeNumber(0) + encodeEvacuations(evacuations);
}

std::uint64_t RegisterState::versionOf(const std::string& command)
{
    return readVersion(command).value_or(0);
}

std::optional<upstream::ZoneEvacuations> RegisterState::evacuationsOf(const std::string& command)
{
    if (readVersion(command) != std::uint64_t { 0 })
        return std::nullopt;
    using Decoded = std::optional<upstream::ZoneEvacuations>;
    return boost::leaf::try_handle_all(
        [&]() -> core::Result<Decoded> {
            BOOST_LEAF_AUTO(evacuations, decodeEvacuations(std::string_view(command).substr(versionBytes)));
            return Decoded(std::move(evacuations));
        },
        [] { return Decoded(); });
}

void RegisterState::apply(const std::string& command)
{
    const auto version = readVersion(command);
    if (version == std::uint64_t { 0 }) {
        auto evacuations = evacuationsOf(command);
        if (evacuations && evacuations->revision > m_evacuations.revision)
            m_evacuations = std::move(*evacuations);
        return;
    }
    if (!version || *version <= m_version)
        return;
    m_version = *version;
    m_text = command.substr(versionBytes);
}

// Without evacuations the snapshot holds only the version and the text, as in earlier releases. With evacuations it
// begins with version 0, which earlier releases refuse, followed by the size of the encoded evacuations (4 bytes), the
// evacuations, and the version and the text.
std::string RegisterState::takeSnapshot() const
{
    auto text = m_version == 0 ? std::string() : encodeState(m_version, m_text);
    if (m_evacuations.revision == 0)
        return text;
    const auto evacuations = encodeEvacuations(m_evacuations);
    return encodeNumber(0) + encodeSize(evacuations.size()) + evacuations + text;
}

core::Result<void> RegisterState::restore(const std::string& state)
{
    m_version = 0;
    m_text.clear();
    m_evacuations = {};
    if (readVersion(state) == std::uint64_t { 0 })
        return restoreWithEvacuations(std::string_view(state).substr(versionBytes));
    return restoreText(state);
}

core::Result<void> RegisterState::restoreWithEvacuations(std::string_view state)
{
    if (state.size() < sizeBytes)
        return failAsMalformed();
    const auto size = boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(state.data()));
    state.remove_prefix(sizeBytes);
    if (size > state.size())
        return failAsMalformed();
    BOOST_LEAF_AUTO(evacuations, decodeEvacuations(state.substr(0, size)));
    BOOST_LEAF_CHECK(restoreText(state.substr(size)));
    m_evacuations = std::move(evacuations);
    return {};
}

core::Result<void> RegisterState::restoreText(std::string_view state)
{
    if (state.empty())
        return {};
    const auto version = readVersion(state);
    if (!version || *version == 0)
        return failAsMalformed();
    m_version = *version;
    m_text = state.substr(versionBytes);
    return {};
}

} // namespace ibisgw::configuration
