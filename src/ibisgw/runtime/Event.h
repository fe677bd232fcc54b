#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <utility>

namespace ibisgw::runtime {

// Log events of the daemons of the direct-return mode. docs/OPERATIONS.md describes each event and its fields; a test
// compares its table with this list.
enum class Event : std::uint8_t {
    // Flows and requests (balancers).
    FlowPlaced,
    FlowPlacedAgain,
    FlowRefused,
    FlowReset,
    LostFlowsReset,
    TokenUnknown,
    RequestForwarded,
    RequestsForwarded,
    RequestRepeated,
    // Upstreams (balancers and controllers).
    UpstreamLearned,
    UpstreamDraining,
    UpstreamGone,
    UpstreamOverdue,
    UpstreamReporting,
    UpstreamUnresponsive,
    UpstreamResponsive,
    SilenceReported,
    UpstreamFailing,
    ZoneSuspected,
    ZoneRecovered,
    ColdStartLimited,
    LinkCongested,
    LinkClear,
    ReportRefused,
    ReportUnconfirmed,
    // Configurations (balancers and controllers).
    ConfigurationProposed,
    ConfigurationAcknowledged,
    ConfigurationInvalid,
    ConfigurationUndecided,
    ConfigurationInForce,
    ReadRefused,
    // Evacuations of zones (balancers and controllers).
    EvacuationOrdered,
    EvacuationsInForce,
    // Raft and its log store (controllers).
    LeaderChanged,
    MembersChanged,
    StoreFailed,
    StoreRecovered,
    // Process lifecycle, readiness and dependencies.
    Starting,
    StateLoaded,
    Ready,
    NotReady,
    ControllersLost,
    ControllersRegained,
    Reloaded,
    ReloadRefused,
    Stopping,
    Stopped,
    Failed,
};

std::string_view nameOf(Event);
// All events with their names; a test compares them with the documentation.
std::span<const std::pair<Event, std::string_view>> allEvents();

} // namespace ibisgw::runtime
