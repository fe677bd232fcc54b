#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <utility>

namespace ibisgw::runtime {

// What a daemon of the direct-return mode writes to its log. docs/OPERATIONS.md describes each event and its fields;
// a test compares the two.
enum class Event : std::uint8_t {
    // Flows and requests; balancers.
    FlowPlaced,
    FlowPlacedAgain,
    FlowRefused,
    FlowReset,
    LostFlowsReset,
    TokenUnknown,
    RequestForwarded,
    RequestsForwarded,
    RequestRepeated,
    // Upstreams; balancers and controllers.
    UpstreamLearned,
    UpstreamDraining,
    UpstreamGone,
    UpstreamOverdue,
    UpstreamReporting,
    UpstreamUnresponsive,
    UpstreamResponsive,
    SilenceReported,
    ReportRefused,
    ReportUnconfirmed,
    // Configurations.
    ConfigurationProposed,
    ConfigurationAcknowledged,
    ConfigurationInvalid,
    ConfigurationUndecided,
    ConfigurationInForce,
    ReadRefused,
    // Agreement; controllers.
    LeaderChanged,
    MembersChanged,
    StoreFailed,
    StoreRecovered,
    // Life of the process and its dependencies.
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
// All events with their names, for the test of the documentation.
std::span<const std::pair<Event, std::string_view>> allEvents();

} // namespace ibisgw::runtime
