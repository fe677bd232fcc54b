#pragma once

#include "ibisgw/adapters/ControlRpc.h"
#include "ibisgw/core/Error.h"
#include "ibisgw/core/Time.h"

#include <functional>
#include <map>
#include <variant>
#include <vector>

namespace ibisgwd {

class PeerNetwork;

// Asks the controllers on behalf of this daemon: follows hints to the leader, tries another controller
// when one does not answer, and gives up after a while. Repeating a request is safe, because controllers
// recognize a submission by its identifier.
class ControlClient {
public:
    using Result = std::variant<ibisgw::adapters::ControlReply, ibisgw::core::Error>;
    using Completion = std::function<void(Result)>;

    // A question whose answer is of use only at once is asked once.
    enum class Attempts {
        One,
        Several,
    };

    ControlClient(PeerNetwork&, std::vector<ibisgw::core::NodeId> controllers);

    // Asks the controllers, the leader first.
    void ask(ibisgw::adapters::ControlRequest, Attempts, ibisgw::core::TimePoint now, Completion);
    // Asks one daemon, and gives up after one attempt.
    void askDaemon(ibisgw::core::NodeId, ibisgw::adapters::ControlRequest, ibisgw::core::TimePoint now, Completion);
    void handleReply(const ibisgw::adapters::ControlReply&, ibisgw::core::TimePoint now);
    void tick(ibisgw::core::TimePoint now);

    ibisgw::core::NodeId lastKnownLeader() const { return m_leader; }

private:
    struct PendingRequest {
        ibisgw::adapters::ControlRequest request;
        Completion completion;
        ibisgw::core::TimePoint startedAt;
        ibisgw::core::TimePoint sentAt;
        std::size_t controllerIndex { 0 };
        // Since the last attempt that was not caused by a hint.
        bool wasRedirected { false };
        Attempts attempts { Attempts::Several };
        // The daemon need not be a controller, so its reply says nothing about the leader.
        bool isForOneDaemon { false };
    };

    PendingRequest* add(ibisgw::adapters::ControlRequest, ibisgw::core::TimePoint now, Completion);
    void send(PendingRequest&, ibisgw::core::NodeId target, ibisgw::core::TimePoint now);
    void sendToNext(PendingRequest&, ibisgw::core::TimePoint now);
    void redirect(PendingRequest&, ibisgw::core::NodeId leader, ibisgw::core::TimePoint now);
    void complete(std::uint64_t number, Result);

    PeerNetwork& m_network;
    std::vector<ibisgw::core::NodeId> m_controllers;
    ibisgw::core::NodeId m_leader;
    std::uint64_t m_nextNumber { 1 };
    std::map<std::uint64_t, PendingRequest> m_pending;
};

} // namespace ibisgwd
