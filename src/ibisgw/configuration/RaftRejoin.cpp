#include "ibisgw/configuration/RaftNode.h"

namespace ibisgw::configuration {

void RaftNode::sendRejoinNotices(core::TimePoint now)
{
    if (now < m_nextRejoinNotice)
        return;
    m_nextRejoinNotice = now + m_options.rejoinNoticeInterval;
    for (const auto& it : m_log.membership().absent)
        enqueue(it.node, RejoinNotice {});
}

// The senders are added to the peers of the disk check. A controller with an empty disk has only the addresses in its
// settings, and a controller that was partitioned also has the members of that time; all of these may be gone.
void RaftNode::discoverSender(core::NodeId from, const RaftMessage& message)
{
    const auto& membership = m_log.membership();
    const bool isOwnGroup = message.group != 0 && (membership.group == 0 || membership.group == message.group);
    const bool isOpen = m_options.membershipMode == MembershipMode::Open;
    if (isOpen && isOwnGroup && from != m_options.self && !membership.find(from))
        m_discoveredControllers.insert(from);
}

// The sender is asked for admission by the next DiskCheckRequest.
void RaftNode::handle(core::NodeId, const RaftMessage&, const RejoinNotice&, core::TimePoint now)
{
    m_nextDiskCheck = now;
}

} // namespace ibisgw::configuration
