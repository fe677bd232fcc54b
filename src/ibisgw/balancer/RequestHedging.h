#pragma once

#include "ibisgw/balancer/FlowPlacer.h"
#include "ibisgw/balancer/OpenAdmission.h"
#include "ibisgw/flow/FlowTokenCodec.h"
#include "ibisgw/request/HedgePolicy.h"

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

namespace ibisgw::balancer {

// Parts of a balancer that RequestHedging uses.
struct HedgingContext {
    const FlowHomes& homes;
    const upstream::UpstreamRegistry& upstreams;
    const flow::FlowTokenCodec& tokens;
    PeerRelay& relay;
    BalancerCounters& counters;
    FlowPlacer& placer;
    OpenAdmission& admission;
};

// Extra attempts of late idempotent requests at a second upstream.
//
// Only the home of a flow starts them, so that a request has one extra attempt at most: the other balancers of the
// group report requests and answers to it. The copy goes over a flow of its own whose caller is this balancer, so no
// packet of the second upstream can change the caller's flow, whichever balancer receives it.
class RequestHedging {
public:
    // The first identifier of a copied request must be larger after each restart of the balancer.
    RequestHedging(const HedgingContext&, core::RequestId firstRequest);

    // True when requests like the packet's may have an extra attempt.
    static bool covers(const configuration::Service&, const packet::Packet&);

    void setPartitioned(bool partitioned) { m_isPartitioned = partitioned; }
    // A change of upstreams may move flows to other homes in a group with several zones.
    void upstreamsChanged(core::TimePoint now) { m_upstreamsChangedAt = now; }
    // Ends the requests of flows that have another home now, unless their extra attempt is in progress.
    void homesChanged();

    // A request that this balancer forwards to the upstream of its flow.
    void noteForwarded(
        const packet::Packet&, core::UpstreamId, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // Handles an answer or a refusal of a request by the upstream of its flow. True when it isn't to be forwarded. A
    // refusal that doesn't say for certain that no copy has run becomes `outcome_unknown`.
    bool handleReply(packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // The caller has cancelled the request.
    void handleCancel(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    // The flow has ended.
    void endFlow(const core::FlowKey&, BalancerOutput&);
    // Handles what another balancer reports about a request, except for its refusal. False for other packets.
    bool handleReport(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    static bool isReport(const packet::Packet&);
    // Handles or relays a packet on a flow whose caller is a balancer of the group. False for other flows.
    bool handleSecondUpstream(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    // Starts the extra attempts that are due. May be called for each packet.
    void startDueAttempts(const configuration::Document&, core::TimePoint now, BalancerOutput&);
    void tick(core::TimePoint now, BalancerOutput&);

    std::size_t requestCount() const { return m_requests.size(); }
    std::size_t attemptCount() const { return m_attempts.size(); }
    std::size_t storedBytes() const { return m_storedBytes; }

private:
    enum class State : std::uint8_t {
        Waiting, // only the first attempt is in progress
        Attempted, // the extra attempt is in progress
        Failed, // the extra attempt has failed; the first one goes on
        Ended, // answered, refused or cancelled; kept so that a late copy isn't taken for a new request
    };
    struct Key {
        core::FlowKey flow;
        core::RequestId request { 0 };

        auto operator<=>(const Key&) const = default;
    };
    struct TrackedRequest {
        State state { State::Waiting };
        core::ServiceName service;
        packet::Packet request;
        std::vector<std::byte> payload;
        core::UpstreamId first;
        core::TimePoint sentAt;
        request::Deadline deadline { 0, {} };
        core::UpstreamId second;
        core::Incarnation secondIncarnation { 0 };
        core::RequestId copyId { 0 };
        bool isCopySent { false };
        bool isRefusedByLimit { false };
        // The first upstream has refused the request while the extra attempt was in progress.
        bool isFirstRefused { false };
        // The next reply of the first upstream is the one to the cancellation, or its late answer.
        bool dropsNextReply { false };
    };
    struct ServiceHedging {
        request::HedgePolicy policy { 0 };
        // Requests in the order in which they become due, with the time from which the delay counts.
        std::deque<std::pair<core::TimePoint, Key>> due;
        core::TimePoint nextCheckAt;
    };

    bool mayTrack(const packet::Packet&, core::TimePoint now) const;
    // True when the caller has accepted the `opened` of this upstream, by its token or because this balancer has
    // forwarded it.
    bool isCallersUpstream(const packet::Packet&, core::UpstreamId, core::TimePoint now) const;
    void track(const packet::Packet&, core::UpstreamId, const configuration::Service&, core::TimePoint now);
    TrackedRequest* find(const Key&);
    void report(const packet::Packet&, std::uint8_t hops, core::TimePoint now, BalancerOutput&);
    bool handleReplyAtHome(packet::Packet&, core::TimePoint now, BalancerOutput&);
    void handleFirstAnswer(TrackedRequest&, core::TimePoint now, BalancerOutput&);
    void tryAttempt(const Key&, const configuration::Service&, ServiceHedging&, core::TimePoint now, BalancerOutput&);
    void startAttempt(const Key&, TrackedRequest&, const configuration::Service&, core::UpstreamId, core::TimePoint now,
        BalancerOutput&);
    void sendCopies(const packet::Packet& opened, core::TimePoint now, BalancerOutput&);
    void handleSecondAnswer(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    // The second upstream has refused the request or doesn't have it any more.
    void failAttempt(core::RequestId copy, BalancerOutput&);
    void failAttemptsAt(core::UpstreamId, const core::Endpoint& service, BalancerOutput&);
    void failAttemptsAtGoneUpstreams(BalancerOutput&);
    void failAttemptsIf(const std::function<bool(const Key&, const TrackedRequest&)>&, BalancerOutput&);
    // Cancels one attempt of the request: its flow and identifier, and its upstream.
    void sendCancel(const TrackedRequest&, const Key& attempt, core::UpstreamId, BalancerOutput&);
    void closeFlow(const core::FlowKey&, core::UpstreamId, BalancerOutput&);
    // Ends the request and cancels its extra attempt if that is in progress.
    void end(TrackedRequest&, BalancerOutput&);
    // Ends a request without an extra attempt in progress.
    void discard(TrackedRequest&);
    void cancelAttempt(TrackedRequest&, BalancerOutput&);
    // Removes the attempt and closes the flow at the second upstream if no other attempt uses it.
    void removeAttempt(TrackedRequest&, BalancerOutput&);
    void removeExpired(core::TimePoint now, BalancerOutput&);
    core::FlowKey ownFlow(const core::Endpoint& service) const;
    void sendToUpstream(const packet::Packet&, BalancerOutput&);

    HedgingContext m_context;
    core::RequestId m_nextCopy;
    bool m_isPartitioned { false };
    core::TimePoint m_upstreamsChangedAt;
    std::map<Key, TrackedRequest> m_requests;
    // Extra attempts in progress by the identifier of the copied request.
    std::unordered_map<core::RequestId, Key> m_attempts;
    std::map<core::ServiceName, ServiceHedging> m_services;
    std::size_t m_storedBytes { 0 };
    core::TimePoint m_nextMaintenanceAt;
};

} // namespace ibisgw::balancer
