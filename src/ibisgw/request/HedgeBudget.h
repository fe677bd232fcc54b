#pragma once

#include "ibisgw/core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace ibisgw::request {

// Limits the extra attempts (hedged requests) of one service to a share of its requests. Two rules hold for each extra
// attempt: the attempts of the last 10 s, including it, are at most the share of the requests of the last 10 s, and a
// token bucket that each request fills by the share has a whole token. The first rule is the operators' limit. The
// second one keeps an upstream that hangs from consuming the limit of a whole window at once. The bucket starts empty,
// and there is no attempt within 10 s of the first request, because an earlier process may have made attempts in that
// window.
class HedgeBudget {
public:
    static constexpr core::Duration window = std::chrono::seconds(10);
    // Capacity of the bucket: the tokens of 5 s at the present rate of requests, which is half of what the limit allows
    // in a window. It falls to one attempt when the service becomes idle. A balancer with 12 requests a second and a
    // share of 0.05 gets 6 tokens in a window; a smaller capacity would lose most of them between late requests.
    static constexpr core::Duration burst = std::chrono::seconds(5);

    // 0 allows no extra attempt.
    explicit HedgeBudget(double maxShare);

    // Keeps the counts of the window, so that a change of the limit takes effect at once.
    void setMaxShare(double maxShare) { m_maxShare = maxShare; }
    double maxShare() const { return m_maxShare; }
    void recordRequest(core::TimePoint now);
    // True when an extra attempt is within the limit.
    bool hasRoom(core::TimePoint now);
    // Counts one extra attempt; false, without an effect, when the limit doesn't allow it.
    bool takeAttempt(core::TimePoint now);

private:
    static constexpr core::Duration bucketLength = std::chrono::milliseconds(100);
    static constexpr std::int64_t bucketsPerWindow = window / bucketLength;

    struct Counts {
        std::int64_t number { -1 };
        std::uint32_t requests { 0 };
        std::uint32_t attempts { 0 };
    };
    struct Totals {
        std::uint64_t requests { 0 };
        std::uint64_t attempts { 0 };
    };

    Counts& currentCounts(core::TimePoint now);
    Totals totals(core::TimePoint now);

    double m_maxShare;
    double m_tokens { 0 };
    std::optional<core::TimePoint> m_firstRequestAt;
    // One more than a window has: the oldest part of a window covers two of them in part.
    std::array<Counts, bucketsPerWindow + 1> m_counts;
};

} // namespace ibisgw::request
