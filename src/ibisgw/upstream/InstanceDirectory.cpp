#include "ibisgw/upstream/InstanceDirectory.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace ibisgw::upstream {

namespace {

// Records of departed upstreams are kept for this time, so that reports delayed by a partition don't revive them.
constexpr core::Duration goneRetention = std::chrono::minutes(5);

// Records of overdue upstreams, such as crashed ones, are kept for this time; their flows are lost long before its end.
constexpr core::Duration overdueRetention = std::chrono::minutes(2);

// Time that an upstream needs to close its flows after it has announced its end.
constexpr core::Duration departureGracePeriod = std::chrono::milliseconds(500);

std::uint64_t digestOf(const InstanceRecord& record)
{
    const auto& report = record.report;
    if (report.state == InstanceState::Gone)
        return 0;
    const std::uint64_t fields[] { report.id.value, report.incarnation, static_cast<std::uint64_t>(report.state),
        core::NodeId::fromEndpoint(report.address).value, report.slots, record.isOverdue ? 1U : 0U,
        XXH3_64bits(report.service.data(), report.service.size()),
        XXH3_64bits(report.zone.data(), report.zone.size()) };
    return XXH3_64bits(fields, sizeof fields);
}

} // namespace

ReportOutcome InstanceDirectory::apply(
    const InstanceReport& report, core::Duration age, core::TimePoint now, core::NodeId source)
{
    const auto found = m_records.find(report.id);
    const bool isGone = report.state == InstanceState::Gone;
    if (found != m_records.end()) {
        auto& record = found->second;
        const auto& known = record.report;
        if (report.incarnation < known.incarnation)
            return ReportOutcome::Stale;
        if (report.incarnation == known.incarnation) {
            if (known.state == InstanceState::Gone)
                return ReportOutcome::Stale;
            if (isGone) {
                markGone(record, EndReason::Left, now);
                return ReportOutcome::Changed;
            }
            if (report.sequence <= known.sequence)
                return ReportOutcome::Stale;
            if (std::tie(report.state, report.service, report.zone, report.address, report.slots)
                == std::tie(known.state, known.service, known.zone, known.address, known.slots)) {
                renew(report.id, report.incarnation, report.sequence, now - age, source);
                return ReportOutcome::Renewed;
            }
        }
    }
    if (!isGone && isReplacedAtAddress(report, now))
        return ReportOutcome::Stale;
    auto& record = m_records[report.id];
    if (record.token != 0)
        retire(record, isGone ? EndReason::Left : EndReason::Replaced, now);
    store(record, report, age, now, source);
    return ReportOutcome::Changed;
}

void InstanceDirectory::store(
    InstanceRecord& record, const InstanceReport& report, core::Duration age, core::TimePoint now, core::NodeId source)
{
    removeAddress(record);
    m_addresses.emplace(report.address, report.id);
    record.report = report;
    record.source = source;
    record.renewedAt = now - age;
    record.isOverdue = false;
    record.changedAt = now;
    record.warmAt = now - age + report.coldRemaining;
    noteReportChange(record);
    if (report.state == InstanceState::Gone)
        return;
    record.token = tokenOf(report);
    m_tokens.emplace(record.token, report.id);
    m_retiredTokens.erase(record.token);
}

// Removes the record's token and records it as retired, unless another upstream has the same token.
void InstanceDirectory::retire(const InstanceRecord& record, EndReason reason, core::TimePoint now)
{
    const auto [first, last] = m_tokens.equal_range(record.token);
    const auto entry = std::find_if(first, last, [&](const auto& it) { return it.second == record.report.id; });
    if (entry != last)
        m_tokens.erase(entry);
    if (m_tokens.contains(record.token))
        return;
    m_retiredTokens[record.token] = { now, reason };
    ++m_retirementCount;
}

void InstanceDirectory::markGone(InstanceRecord& record, EndReason reason, core::TimePoint now)
{
    retire(record, reason, now);
    record.report.state = InstanceState::Gone;
    record.changedAt = now;
    noteReportChange(record);
}

void InstanceDirectory::noteReportChange(InstanceRecord& record)
{
    noteChange(record);
    record.lastReportChange = record.lastChange;
}

void InstanceDirectory::noteChange(InstanceRecord& record)
{
    removeFromIndexes(record);
    record.lastChange = record.lastUpdate = m_newestChange = ++m_newestUpdate;
    m_byChange.emplace(record.lastChange, record.report.id);
    m_byUpdate.emplace(record.lastUpdate, record.report.id);
    record.digest = digestOf(record);
    m_digest += record.digest;
}

void InstanceDirectory::noteRenewal(InstanceRecord& record)
{
    m_byUpdate.erase(record.lastUpdate);
    record.lastUpdate = ++m_newestUpdate;
    m_byUpdate.emplace(record.lastUpdate, record.report.id);
}

void InstanceDirectory::removeFromIndexes(const InstanceRecord& record)
{
    m_byChange.erase(record.lastChange);
    m_byUpdate.erase(record.lastUpdate);
    m_digest -= record.digest;
}

// Addresses are reused: of several upstreams at one address only the one that started last exists. Returns true if that
// isn't the reported one; otherwise marks the others as gone.
bool InstanceDirectory::isReplacedAtAddress(const InstanceReport& report, core::TimePoint now)
{
    const auto [first, last] = m_addresses.equal_range(report.address);
    for (auto it = first; it != last; ++it) {
        auto& record = m_records.at(it->second);
        const auto& other = record.report;
        if (other.id == report.id)
            continue;
        if (other.incarnation > report.incarnation)
            return true;
        if (other.state != InstanceState::Gone)
            markGone(record, EndReason::Replaced, now);
    }
    return false;
}

void InstanceDirectory::removeAddress(const InstanceRecord& record)
{
    const auto [first, last] = m_addresses.equal_range(record.report.address);
    const auto entry = std::find_if(first, last, [&](const auto& it) { return it.second == record.report.id; });
    if (entry != last)
        m_addresses.erase(entry);
}

bool InstanceDirectory::renew(
    InstanceId id, core::Incarnation incarnation, std::uint64_t sequence, core::TimePoint now, core::NodeId source)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.report.incarnation != incarnation)
        return false;
    auto& record = found->second;
    if (record.report.state == InstanceState::Gone || sequence <= record.report.sequence)
        return true;
    record.report.sequence = sequence;
    record.source = source;
    record.renewedAt = std::max(record.renewedAt, now);
    noteRenewal(record);
    if (record.isOverdue)
        noteOverdue(record, false, now);
    return true;
}

void InstanceDirectory::noteOverdue(InstanceRecord& record, bool isOverdue, core::TimePoint now)
{
    record.changedAt = now;
    record.isOverdue = isOverdue;
    noteChange(record);
}

void InstanceDirectory::setOverdue(
    InstanceId id, core::Incarnation incarnation, std::uint64_t sequence, bool isOverdue, core::TimePoint now)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.report.incarnation != incarnation)
        return;
    auto& record = found->second;
    if (record.report.state == InstanceState::Gone || sequence < record.report.sequence
        || record.isOverdue == isOverdue)
        return;
    record.report.sequence = sequence;
    noteOverdue(record, isOverdue, now);
}

void InstanceDirectory::markOverdue(core::Duration timeout, core::TimePoint now)
{
    for (auto& [id, record] : m_records) {
        if (!record.isOverdue && record.report.state != InstanceState::Gone && now - record.renewedAt > timeout)
            noteOverdue(record, true, now);
    }
}

const InstanceRecord* InstanceDirectory::find(InstanceId id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

std::optional<core::Incarnation> InstanceDirectory::departingIncarnation(InstanceId id) const
{
    const auto* record = find(id);
    if (!record)
        return 0;
    return record->report.state == InstanceState::Ready ? std::nullopt : std::optional(record->report.incarnation);
}

const InstanceRecord* InstanceDirectory::findByToken(std::uint32_t token) const
{
    const auto [first, last] = m_tokens.equal_range(token);
    if (first == last || std::next(first) != last)
        return nullptr;
    return find(first->second);
}

bool InstanceDirectory::mayStillRun(std::uint32_t token, core::TimePoint now) const
{
    const auto found = m_retiredTokens.find(token);
    return found != m_retiredTokens.end() && found->second.reason == EndReason::Left
        && now - found->second.at < departureGracePeriod;
}

bool InstanceDirectory::hasReadyInstance() const
{
    return std::ranges::any_of(
        m_records, [](const auto& it) { return it.second.report.state == InstanceState::Ready; });
}

bool InstanceDirectory::sharesToken(const InstanceRecord& record) const
{
    return m_tokens.count(record.token) > 1;
}

void InstanceDirectory::expire(core::TimePoint now)
{
    std::erase_if(m_retiredTokens, [now](const auto& it) { return now - it.second.at > goneRetention; });
    for (auto it = m_records.begin(); it != m_records.end();) {
        const bool isGone = it->second.report.state == InstanceState::Gone;
        const auto sinceChange = now - it->second.changedAt;
        const bool isExpired
            = isGone ? sinceChange > goneRetention : it->second.isOverdue && sinceChange > overdueRetention;
        if (isExpired && !isGone)
            retire(it->second, EndReason::Left, now);
        if (isExpired) {
            removeFromIndexes(it->second);
            removeAddress(it->second);
            ++m_removalCount;
        }
        it = isExpired ? m_records.erase(it) : std::next(it);
    }
}

} // namespace ibisgw::upstream
