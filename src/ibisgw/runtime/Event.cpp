#include "ibisgw/runtime/Event.h"

#include "ibisgw/core/NameTable.h"

namespace ibisgw::runtime {

namespace {

constexpr std::size_t eventCount = 48;

constexpr core::NameTable<Event, eventCount> eventNames { {
    { Event::FlowPlaced, "flow_placed" },
    { Event::FlowPlacedAgain, "flow_placed_again" },
    { Event::FlowRefused, "flow_refused" },
    { Event::FlowReset, "flow_reset" },
    { Event::LostFlowsReset, "lost_flows_reset" },
    { Event::TokenUnknown, "token_unknown" },
    { Event::RequestForwarded, "request_forwarded" },
    { Event::RequestsForwarded, "requests_forwarded" },
    { Event::RequestRepeated, "request_repeated" },
    { Event::UpstreamLearned, "upstream_learned" },
    { Event::UpstreamDraining, "upstream_draining" },
    { Event::UpstreamGone, "upstream_gone" },
    { Event::UpstreamOverdue, "upstream_overdue" },
    { Event::UpstreamReporting, "upstream_reporting" },
    { Event::UpstreamUnresponsive, "upstream_unresponsive" },
    { Event::UpstreamResponsive, "upstream_responsive" },
    { Event::SilenceReported, "silence_reported" },
    { Event::UpstreamFailing, "upstream_failing" },
    { Event::ZoneSuspected, "zone_suspected" },
    { Event::ZoneRecovered, "zone_recovered" },
    { Event::ColdStartLimited, "cold_start_limited" },
    { Event::LinkCongested, "link_congested" },
    { Event::LinkClear, "link_clear" },
    { Event::ReportRefused, "report_refused" },
    { Event::ReportUnconfirmed, "report_unconfirmed" },
    { Event::ConfigurationProposed, "configuration_proposed" },
    { Event::ConfigurationAcknowledged, "configuration_acknowledged" },
    { Event::ConfigurationInvalid, "configuration_invalid" },
    { Event::ConfigurationUndecided, "configuration_undecided" },
    { Event::ConfigurationInForce, "configuration_in_force" },
    { Event::ReadRefused, "read_refused" },
    { Event::EvacuationOrdered, "evacuation_ordered" },
    { Event::EvacuationsInForce, "evacuations_in_force" },
    { Event::LeaderChanged, "leader_changed" },
    { Event::MembersChanged, "members_changed" },
    { Event::StoreFailed, "store_failed" },
    { Event::StoreRecovered, "store_recovered" },
    { Event::Starting, "starting" },
    { Event::StateLoaded, "state_loaded" },
    { Event::Ready, "ready" },
    { Event::NotReady, "not_ready" },
    { Event::ControllersLost, "controllers_lost" },
    { Event::ControllersRegained, "controllers_regained" },
    { Event::Reloaded, "reloaded" },
    { Event::ReloadRefused, "reload_refused" },
    { Event::Stopping, "stopping" },
    { Event::Stopped, "stopped" },
    { Event::Failed, "failed" },
} };

} // namespace

std::string_view nameOf(Event event)
{
    return eventNames.nameOf(event);
}

std::span<const std::pair<Event, std::string_view>> allEvents()
{
    return eventNames.entries;
}

} // namespace ibisgw::runtime
