#pragma once

#include "ibisgw/configuration/SubmissionOutcome.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <string>
#include <unordered_map>

namespace ibisgw::configuration {

// Outcomes of the latest submissions by identifier. If a submission is repeated after its identifier was evicted, its
// base is outdated and the outcome is a conflict, so no submission is accepted twice.
class SubmissionTable {
public:
    static constexpr std::size_t capacity = 10'000;

    // Null when the identifier is not known.
    const SubmissionOutcome* find(const std::string& id) const;
    // Records the outcome of a submission; has no effect if the identifier already has one.
    void record(const std::string& id, SubmissionOutcome);
    // Only for tests that disable the rule that the first outcome of an identifier is final.
    void erase(const std::string& id);
    std::size_t size() const { return m_order.size(); }

    nlohmann::json toJson() const;
    // False for malformed input.
    bool restore(const nlohmann::json&);

private:
    std::unordered_map<std::string, SubmissionOutcome> m_outcomes;
    std::deque<std::string> m_order;
};

} // namespace ibisgw::configuration
