#include "ibisgw/configuration/RegisterState.h"

#include <boost/endian/conversion.hpp>

#include <optional>

namespace ibisgw::configuration {

namespace {

constexpr std::size_t versionBytes = sizeof(std::uint64_t);

// Big-endian version followed by the text.
std::string encodeState(std::uint64_t version, const std::string& text)
{
    std::string bytes(versionBytes, '\0');
    boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(bytes.data()), version);
    return bytes + text;
}

std::optional<std::uint64_t> readVersion(const std::string& bytes)
{
    if (bytes.size() < versionBytes)
        return std::nullopt;
    return boost::endian::load_big_u64(reinterpret_cast<const unsigned char*>(bytes.data()));
}

} // namespace

std::string RegisterState::encode(std::uint64_t version, const std::string& text)
{
    return encodeState(version, text);
}

std::uint64_t RegisterState::versionOf(const std::string& command)
{
    return readVersion(command).value_or(0);
}

void RegisterState::apply(const std::string& command)
{
    const auto version = readVersion(command);
    if (!version || *version <= m_version)
        return;
    m_version = *version;
    m_text = command.substr(versionBytes);
}

std::string RegisterState::takeSnapshot() const
{
    return m_version == 0 ? std::string() : encodeState(m_version, m_text);
}

core::Result<void> RegisterState::restore(const std::string& state)
{
    m_version = 0;
    m_text.clear();
    if (state.empty())
        return {};
    const auto version = readVersion(state);
    if (!version || *version == 0)
        return core::fail(core::ErrorKind::DataCorrupted,
            "the snapshot of the configuration is malformed; empty the data folder of this controller and restart it: "
            "it rejoins as a learner");
    m_version = *version;
    m_text = state.substr(versionBytes);
    return {};
}

} // namespace ibisgw::configuration
