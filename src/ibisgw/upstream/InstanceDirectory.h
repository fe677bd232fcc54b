#pragma once

#include "ibisgw/upstream/InstanceReport.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ibisgw::upstream {

enum class ReportOutcome : std::uint8_t {
    Stale, // older than the stored report, or of an incarnation that is gone
    Renewed, // equal to the stored report but for its sequence number: shows that the upstream is alive
    Changed,
};

// Directory entry of one upstream. Change numbers are local to one directory and order its changes.
struct InstanceRecord {
    InstanceReport report;
    std::uint32_t token { 0 };
    // When the upstream sent the last report.
    core::TimePoint renewedAt;
    // The controller that relayed the last report; invalid if the upstream sent it directly.
    core::NodeId source;
    // The upstream hasn't sent a report for too long. This mark is replicated to daemons that don't receive each
    // report.
    bool isOverdue { false };
    core::TimePoint changedAt;
    // End of the cold start.
    core::TimePoint warmAt;
    // Contribution of this record to the digest of the directory.
    std::uint64_t digest { 0 };
    std::uint64_t lastChange { 0 };
    // Number of the last change of the report itself, not of isOverdue.
    std::uint64_t lastReportChange { 0 };
    // Number of the last change or renewal.
    std::uint64_t lastUpdate { 0 };
};

using ChangeIndex = std::map<std::uint64_t, InstanceId>;

// Directory of upstreams, merged from reports of any number of sources in any order. For each identifier the highest
// incarnation wins and, within an incarnation, the highest sequence; the state "gone" of an incarnation is final.
class InstanceDirectory {
public:
    // Merges a report. `age` is the time since the upstream sent it, as estimated by the source. Without a source the
    // report was received from the upstream itself.
    ReportOutcome apply(const InstanceReport&, core::Duration age, core::TimePoint now, core::NodeId source = {});
    // Sets or clears the overdue mark as reported by a source whose last report of the upstream has the given sequence.
    // Ignored if a later report was received here, and for other incarnations and upstreams that are gone.
    void setOverdue(InstanceId, core::Incarnation, std::uint64_t sequence, bool isOverdue, core::TimePoint now);
    // Marks the upstreams that haven't sent a report for longer than the timeout as overdue.
    void markOverdue(core::Duration timeout, core::TimePoint now);
    // Applies a renewal, which holds the sequence of a report that is otherwise unchanged. Returns false if the record
    // of that incarnation is missing, so that the full report is needed.
    bool renew(InstanceId, core::Incarnation, std::uint64_t sequence, core::TimePoint now, core::NodeId source = {});

    const InstanceRecord* find(InstanceId) const;
    // Incarnation that ends with a farewell that names none. Empty if the upstream has not announced its end: then the
    // farewell is a late one of an earlier incarnation. 0 if the upstream is unknown.
    std::optional<core::Incarnation> departingIncarnation(InstanceId) const;
    // Returns the upstream of a token, or null if the token is unknown or shared by two upstreams.
    const InstanceRecord* findByToken(std::uint32_t token) const;
    // Whether the token belongs to an incarnation that has ended.
    bool isRetired(std::uint32_t token) const { return m_retiredTokens.contains(token); }
    // Whether the incarnation of a retired token announced its end so recently that it may still be closing its flows.
    bool mayStillRun(std::uint32_t token, core::TimePoint now) const;
    // Number of incarnations that have ended.
    std::uint64_t retirementCount() const { return m_retirementCount; }
    // Whether another upstream has the same token. Such upstreams must get no new flows, so that no token is ambiguous.
    bool sharesToken(const InstanceRecord&) const;

    const std::map<InstanceId, InstanceRecord>& records() const { return m_records; }
    bool hasReadyInstance() const;
    // Number of the newest change or renewal.
    std::uint64_t newestUpdate() const { return m_newestUpdate; }
    // Number of the newest change, without renewals.
    std::uint64_t newestChange() const { return m_newestChange; }
    // Number of records that were removed. Pointers to records are valid while it is unchanged.
    std::uint64_t removalCount() const { return m_removalCount; }
    // Identifiers ordered by last change, and by last change or renewal.
    const ChangeIndex& byChange() const { return m_byChange; }
    const ChangeIndex& byUpdate() const { return m_byUpdate; }
    // Digest of all upstreams that aren't gone and of their states: equal for directories that have converged.
    std::uint64_t digest() const { return m_digest; }

    // Removes records and retired tokens whose retention time is over. Call about once a second.
    void expire(core::TimePoint now);

private:
    void store(InstanceRecord&, const InstanceReport&, core::Duration age, core::TimePoint now, core::NodeId source);
    enum class EndReason : std::uint8_t {
        Left,
        Replaced, // by an upstream that started later with the same identifier or address
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
    // Includes upstreams that are gone.
    std::unordered_multimap<core::Endpoint, InstanceId> m_addresses;
    std::unordered_map<std::uint32_t, RetiredToken> m_retiredTokens;
    std::uint64_t m_retirementCount { 0 };
    ChangeIndex m_byChange;
    ChangeIndex m_byUpdate;
    // Sum of the digests of all records.
    std::uint64_t m_digest { 0 };
    std::uint64_t m_newestUpdate { 0 };
    std::uint64_t m_newestChange { 0 };
    std::uint64_t m_removalCount { 0 };
};

} // namespace ibisgw::upstream
