#pragma once

#include "ibisgw/upstream/InstanceReport.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace ibisgw::upstream {

enum class ReportOutcome : std::uint8_t {
    Stale, // older than what is known, or of an incarnation that is gone
    Renewed, // says nothing new but that the upstream is alive
    Changed,
};

// What is known of one upstream. Change numbers belong to one directory and order its changes.
struct InstanceRecord {
    InstanceReport report;
    std::uint32_t token { 0 };
    core::TimePoint renewedAt;
    // The controller that told of its last report; invalid when the upstream did so itself.
    core::NodeId source;
    // Has not reported itself for too long; other balancers and controllers may be told so without each report.
    bool isOverdue { false };
    core::TimePoint changedAt;
    // When its cold start is over.
    core::TimePoint warmAt;
    // Part of the digest of the directory.
    std::uint64_t digest { 0 };
    std::uint64_t lastChange { 0 };
    // Last change of the report itself; becoming overdue is none.
    std::uint64_t lastReportChange { 0 };
    // Last change or renewal.
    std::uint64_t lastNews { 0 };
};

using ChangeIndex = std::map<std::uint64_t, InstanceId>;

// The upstreams that have reported themselves, merged from any number of sources in any order: for each
// identifier the highest incarnation counts, within it the highest sequence, and "gone" is final.
class InstanceDirectory {
public:
    // `age` is the time since the upstream made the report, as far as the source knows. Without a source the report
    // comes from the upstream itself.
    ReportOutcome apply(const InstanceReport&, core::Duration age, core::TimePoint now, core::NodeId source = {});
    // Notes whether an upstream is overdue, as a source says that knows at least the given sequence.
    void setOverdue(InstanceId, core::Incarnation, std::uint64_t sequence, bool isOverdue, core::TimePoint now);
    // Marks the upstreams that have not reported themselves for the given time.
    void markOverdue(core::Duration timeout, core::TimePoint now);
    // A renewal without the report itself. False when that incarnation is not known here as alive.
    bool renew(InstanceId, core::Incarnation, std::uint64_t sequence, core::TimePoint now, core::NodeId source = {});

    const InstanceRecord* find(InstanceId) const;
    // The upstream to which a token belongs; null for an unknown token and for one that two upstreams share.
    const InstanceRecord* findByToken(std::uint32_t token) const;
    // Whether the token belonged to an incarnation that is known to have ended.
    bool isRetired(std::uint32_t token) const { return m_retiredTokens.contains(token); }
    // Whether the incarnation of a retired token has said goodbye so recently that it may still end its flows.
    bool mayStillRun(std::uint32_t token, core::TimePoint now) const;
    // Grows each time an incarnation ends.
    std::uint64_t retirementCount() const { return m_retirementCount; }
    // Two upstreams with equal tokens get no new flows, so that no token is ambiguous.
    bool sharesToken(const InstanceRecord&) const;

    const std::map<InstanceId, InstanceRecord>& records() const { return m_records; }
    bool hasReady() const;
    // Grows with every change and renewal.
    std::uint64_t newestChange() const { return m_newestChange; }
    // Grows with every change, not with renewals.
    std::uint64_t newestRealChange() const { return m_newestRealChange; }
    // The records by their last change, and by their last change or renewal.
    const ChangeIndex& byChange() const { return m_byChange; }
    const ChangeIndex& byNews() const { return m_byNews; }
    // Equal for directories that know the same upstreams in the same states, but for those that are gone.
    std::uint64_t digest() const { return m_digest; }

    // Forgets what can no longer matter. Call about once a second.
    void expire(core::TimePoint now);

private:
    void store(InstanceRecord&, const InstanceReport&, core::Duration age, core::TimePoint now, core::NodeId source);
    enum class EndReason : std::uint8_t {
        Left,
        Replaced, // by a later start under its identifier or at its address
    };
    struct RetiredToken {
        core::TimePoint at;
        EndReason reason { EndReason::Left };
    };

    void retire(const InstanceRecord&, EndReason, core::TimePoint now);
    bool isReplacedAtAddress(const InstanceReport&, core::TimePoint now);
    void markGone(InstanceRecord&, EndReason, core::TimePoint now);
    void noteOverdue(InstanceRecord&, bool isOverdue, core::TimePoint now);
    void noteReportChange(InstanceRecord&);
    void noteChange(InstanceRecord&);
    void noteRenewal(InstanceRecord&);
    void removeFromIndexes(const InstanceRecord&);
    void removeAddress(const InstanceRecord&);

    std::map<InstanceId, InstanceRecord> m_records;
    std::unordered_multimap<std::uint32_t, InstanceId> m_tokens;
    // Those that are gone included.
    std::unordered_multimap<core::Endpoint, InstanceId> m_addresses;
    std::unordered_map<std::uint32_t, RetiredToken> m_retiredTokens;
    std::uint64_t m_retirementCount { 0 };
    ChangeIndex m_byChange;
    ChangeIndex m_byNews;
    // Sum of the digests of the records; a change takes the old one of its record away.
    std::uint64_t m_digest { 0 };
    std::uint64_t m_newestChange { 0 };
    std::uint64_t m_newestRealChange { 0 };
};

} // namespace ibisgw::upstream
