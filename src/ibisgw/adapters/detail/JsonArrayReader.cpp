#include "ibisgw/adapters/detail/JsonArrayReader.h"

namespace ibisgw::adapters::detail {

JsonArrayReader::JsonArrayReader(const nlohmann::json& array)
    : m_array(array)
    , m_failed(!array.is_array())
{
}

std::uint64_t JsonArrayReader::number(std::uint64_t maxValue)
{
    const auto* item = takeNext();
    if (!item || !item->is_number_unsigned() || item->get<std::uint64_t>() > maxValue) {
        m_failed = true;
        return 0;
    }
    return item->get<std::uint64_t>();
}

bool JsonArrayReader::boolean()
{
    const auto* item = takeNext();
    if (!item || !item->is_boolean()) {
        m_failed = true;
        return false;
    }
    return item->get<bool>();
}

std::string JsonArrayReader::text()
{
    const auto* item = takeNext();
    if (!item || !item->is_string()) {
        m_failed = true;
        return {};
    }
    return item->get<std::string>();
}

std::string JsonArrayReader::bytes()
{
    const auto* item = takeNext();
    if (!item || !item->is_binary()) {
        m_failed = true;
        return {};
    }
    const auto& binary = item->get_binary();
    return { binary.begin(), binary.end() };
}

const nlohmann::json& JsonArrayReader::array()
{
    static const auto empty = nlohmann::json::array();
    const auto* item = takeNext();
    if (!item || !item->is_array()) {
        m_failed = true;
        return empty;
    }
    return *item;
}

const nlohmann::json* JsonArrayReader::takeNext()
{
    if (m_failed || m_next >= m_array.size())
        return nullptr;
    return &m_array[m_next++];
}

} // namespace ibisgw::adapters::detail
