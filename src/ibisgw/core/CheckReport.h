#pragma once

#include "ibisgw/core/NameTable.h"
#include "ibisgw/core/Problem.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ibisgw::core {

enum class Severity : std::uint8_t {
    Error, // a daemon rejects the configuration
    Warning, // a daemon accepts it, but a part has no effect or contradicts another part
    Difference, // it differs from the version that it is compared with
};

// Rules of the check of a configuration, in the order in which findings are listed: errors, warnings, then differences
// by their risk.
enum class CheckRule : std::uint8_t {
    Invalid,
    VersionNotHigher,
    Shadowed,
    UnusedService,
    ZeroWeight,
    UnusedZone,
    UnknownDrainedUpstream,
    TimeoutBelowObjective,
    RetriesExceedDeadline,
    HedgingWithoutIdempotentKind,
    QueueAboveConcurrency,
    WarmUpWithoutColdStart,
    Removed,
    ChangedTarget,
    ChangedLimit,
    Added,
};

inline constexpr NameTable<Severity, 3> severityNames { {
    { Severity::Error, "error" },
    { Severity::Warning, "warning" },
    { Severity::Difference, "difference" },
} };

inline constexpr NameTable<CheckRule, 16> checkRuleNames { {
    { CheckRule::Invalid, "invalid" },
    { CheckRule::VersionNotHigher, "version_not_higher" },
    { CheckRule::Shadowed, "shadowed" },
    { CheckRule::UnusedService, "unused_service" },
    { CheckRule::ZeroWeight, "zero_weight" },
    { CheckRule::UnusedZone, "unused_zone" },
    { CheckRule::UnknownDrainedUpstream, "unknown_drained_upstream" },
    { CheckRule::TimeoutBelowObjective, "timeout_below_objective" },
    { CheckRule::RetriesExceedDeadline, "retries_exceed_deadline" },
    { CheckRule::HedgingWithoutIdempotentKind, "hedging_without_idempotent_kind" },
    { CheckRule::QueueAboveConcurrency, "queue_above_concurrency" },
    { CheckRule::WarmUpWithoutColdStart, "warm_up_without_cold_start" },
    { CheckRule::Removed, "removed" },
    { CheckRule::ChangedTarget, "changed_target" },
    { CheckRule::ChangedLimit, "changed_limit" },
    { CheckRule::Added, "added" },
} };

Severity severityOf(CheckRule);

// A violated rule or a difference.
struct Finding {
    CheckRule rule { CheckRule::Invalid };
    // The path of a removed entry is its path in the version that the configuration is compared with.
    Problem problem;
};

// Result of the check of a configuration.
class CheckReport {
public:
    void add(CheckRule, std::string path, std::string message);
    void addErrors(const std::vector<Problem>&);
    // Adds a difference. Appends the remedy, which depends only on the rule.
    void addDifference(CheckRule, std::string path, const std::string& what);

    // All findings in the order of CheckRule, those of one rule in the order in which they were added.
    std::vector<Finding> findings() const;
    std::size_t count(Severity) const;

private:
    std::vector<Finding> m_findings;
};

// The numbers of errors, warnings and differences, and the list of findings with severity, rule, path and message.
nlohmann::json toJson(const CheckReport&);

} // namespace ibisgw::core
