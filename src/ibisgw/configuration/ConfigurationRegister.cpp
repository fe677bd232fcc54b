#include "ibisgw/configuration/ConfigurationRegister.h"

#include <algorithm>

namespace ibisgw::configuration {

namespace {

// Interval between attempts to reload the store after a full disk or a failed write.
constexpr core::Duration restartInterval = std::chrono::milliseconds(500);

} // namespace

ConfigurationRegister::ConfigurationRegister(RaftOptions options, LogStore& store, core::RandomSource& random)
    : m_raft(std::move(options), store, m_state, random)
    , m_evacuationOrders(m_raft, m_state)
{
}

core::Result<void> ConfigurationRegister::start(core::TimePoint now)
{
    return m_raft.start(now);
}

void ConfigurationRegister::handleMessage(
    core::NodeId from, const RaftMessage& message, core::TimePoint now, RaftOutput& output)
{
    m_raft.handleMessage(from, message, now, output);
}

void ConfigurationRegister::tick(core::TimePoint now, RaftOutput& output)
{
    if (m_raft.role() == RaftRole::Halted)
        restartAfterFailure(now);
    m_raft.tick(now, output);
    std::erase_if(m_pendingVersions, [this](std::uint64_t it) { return it <= m_state.version(); });
}

// Reloads the whole store, because after a failed write the contents of the disk are unknown.
void ConfigurationRegister::restartAfterFailure(core::TimePoint now)
{
    if (now < m_nextRestart)
        return;
    m_nextRestart = now + restartInterval;
    boost::leaf::try_handle_all([&]() -> core::Result<void> { return m_raft.start(now); },
        // On failure the node stays halted and keeps its problem text; the next attempt follows after restartInterval.
        [](const core::Error&) {}, [] {});
}

std::optional<ReplaceStatus> ConfigurationRegister::statusWithoutProposal(std::uint64_t version) const
{
    if (version <= m_state.version())
        return ReplaceStatus::Accepted;
    if (!m_raft.isAccepting())
        return ReplaceStatus::Unknown;
    if (isPending(version))
        return ReplaceStatus::Pending;
    return std::nullopt;
}

ReplaceStatus ConfigurationRegister::replace(
    std::uint64_t version, const std::string& text, core::TimePoint now, RaftOutput& output)
{
    if (const auto status = statusWithoutProposal(version))
        return *status;
    if (m_pendingTerm != m_raft.term()) {
        m_pendingVersions.clear();
        m_pendingTerm = m_raft.term();
    }
    if (!m_raft.propose(RegisterState::encode(version, text), now, output))
        return ReplaceStatus::Unknown;
    m_pendingVersions.insert(version);
    return statusOf(version);
}

ReplaceStatus ConfigurationRegister::statusOf(std::uint64_t version) const
{
    if (version <= m_state.version())
        return ReplaceStatus::Accepted;
    return isPending(version) ? ReplaceStatus::Pending : ReplaceStatus::Unknown;
}

bool ConfigurationRegister::isPending(std::uint64_t version) const
{
    return m_raft.role() == RaftRole::Leader && m_raft.term() == m_pendingTerm && m_pendingVersions.contains(version);
}

std::uint64_t ConfigurationRegister::loggedVersion() const
{
    auto version = m_state.version();
    const auto& log = m_raft.log();
    for (auto index = m_raft.appliedIndex() + 1; index <= log.lastIndex(); ++index) {
        if (log.at(index).kind == EntryKind::Command)
            version = std::max(version, RegisterState::versionOf(log.at(index).command));
    }
    return version;
}

std::optional<ReadTicket> ConfigurationRegister::beginRead(core::TimePoint now, RaftOutput& output)
{
    return m_raft.beginRead(now, output);
}

} // namespace ibisgw::configuration
