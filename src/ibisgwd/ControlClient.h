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

// RPC client of this daemon for the controllers and single daemons: follows redirects to the leader, retries with
// another controller after a timeout, and fails after an overall timeout. Retries are safe, because controllers
// deduplicate submissions by their identifier.
class ControlClient {
public:
    using Result = std::variant<ibisgw::adapters::ControlReply, ibisgw::core::Error>;
    using Completion = std::function<void(Result)>;

    // Requests whose answer is only useful without delay are sent once.
    enum class Attempts {
        One,
        Several,
    };

    ControlClient(PeerNetwork&, std::vector<ibisgw::core::NodeId> controllers);

    // Sends the request to the last known leader, or to any controller if there is none.
    void callControllers(ibisgw::adapters::ControlRequest, Attempts, ibisgw::core::TimePoint now, Completion);
    // Sends the request once to the given daemon.
    void callDaemon(ibisgw::core::NodeId, ibisgw::adapters::ControlRequest, ibisgw::core::TimePoint now, Completion);
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
        // Whether a redirect was followed since the last attempt that was not a redirect.
        bool wasRedirected { false };
        Attempts attempts { Attempts::Several };
        // Sent by callDaemon(). The daemon need not be a controller, so its reply does not identify the leader.
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
