#pragma once

#include "ibisgw/configuration/SubmissionOutcome.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <string>
#include <unordered_map>

namespace ibisgw::configuration {

// Answers to the latest submissions. A resubmission of an identifier that has been evicted names an
// old base and gets a conflict, so nothing is accepted twice.
class SubmissionTable {
public:
    static constexpr std::size_t capacity = 10'000;

    // Null when the identifier is not known.
    const SubmissionOutcome* find(const std::string& id) const;
    // Keeps the first outcome of an identifier.
    void record(const std::string& id, SubmissionOutcome);
    // For a test that shows what keeping the first outcome prevents.
    void forget(const std::string& id);
    std::size_t size() const { return m_order.size(); }

    nlohmann::json toJson() const;
    // False for malformed input.
    bool restore(const nlohmann::json&);

private:
    std::unordered_map<std::string, SubmissionOutcome> m_outcomes;
    std::deque<std::string> m_order;
};

} // namespace ibisgw::configuration
