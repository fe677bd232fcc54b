#include "ibisgw/configuration/SubmissionTable.h"

#include <nlohmann/json.hpp>

namespace ibisgw::configuration {

const SubmissionOutcome* SubmissionTable::find(const std::string& id) const
{
    const auto it = m_outcomes.find(id);
    return it == m_outcomes.end() ? nullptr : &it->second;
}

void SubmissionTable::record(const std::string& id, SubmissionOutcome outcome)
{
    if (!m_outcomes.emplace(id, std::move(outcome)).second)
        return;
    m_order.push_back(id);
    while (m_order.size() > capacity) {
        m_outcomes.erase(m_order.front());
        m_order.pop_front();
    }
}

void SubmissionTable::erase(const std::string& id)
{
    if (m_outcomes.erase(id) > 0)
        std::erase(m_order, id);
}

nlohmann::json SubmissionTable::toJson() const
{
    auto json = nlohmann::json::array();
    for (const auto& id : m_order) {
        const auto& outcome = m_outcomes.at(id);
        json.push_back({ id, static_cast<std::uint64_t>(outcome.kind), outcome.revision, outcome.author });
    }
    return json;
}

bool SubmissionTable::restore(const nlohmann::json& json)
{
    *this = {};
    if (!json.is_array())
        return false;
    for (const auto& it : json) {
        if (!it.is_array() || it.size() != 4 || !it[0].is_string() || !it[1].is_number_unsigned()
            || !it[2].is_number_unsigned() || !it[3].is_string())
            return false;
        const auto kind = it[1].get<std::uint64_t>();
        if (kind > static_cast<std::uint64_t>(OutcomeKind::Conflict))
            return false;
        record(it[0], { static_cast<OutcomeKind>(kind), it[2], it[3], {}, {} });
    }
    return true;
}

} // namespace ibisgw::configuration
