#include "ibisgw/runtime/EvacuationCalls.h"

#include "ibisgw/configuration/EvacuationCodec.h"
#include "ibisgw/core/NameTable.h"
#include "ibisgw/runtime/LogFields.h"

#include <nlohmann/json.hpp>

namespace ibisgw::runtime {

namespace {

using configuration::EvacuationOrder;
using configuration::OrderStatus;

// Outcomes in the event evacuation_ordered, listed in docs/OPERATIONS.md.
constexpr core::NameTable<AnswerKind, 4> outcomeNames { {
    { AnswerKind::Done, "acknowledged" },
    { AnswerKind::RedirectToLeader, "redirected" },
    { AnswerKind::Refused, "refused" },
    { AnswerKind::Unavailable, "undecided" },
} };

} // namespace

EvacuationCalls::EvacuationCalls(configuration::ConfigurationRegister& configurationRegister, ZoneCatalog catalog,
    EventLog& events, adapters::MetricsRegistry& metrics)
    : m_register(configurationRegister)
    , m_catalog(catalog)
    , m_events(events)
    , m_metrics(metrics)
    , m_commitLatency(metrics.latency(
          "ibisgw_evacuation_commit_seconds", "From the order to evacuate a zone or its end to the acknowledgement"))
{
}

void EvacuationCalls::begin(const EvacuationOrder& order, const ControlAnswer& redirect, core::TimePoint now,
    configuration::RaftOutput& output, AnswerHandler answer)
{
    const auto zone = m_catalog.statusOf(order.zone, now);
    if (zone == ZoneStatus::NotFound) {
        finish(
            order, now, now, { AnswerKind::Refused, {}, "the deployment has no such zone; correct the name" }, answer);
        return;
    }
    // A zone that only this controller has not seen yet may exist, so the operator asks another one.
    const auto ticket
        = zone == ZoneStatus::Known ? m_register.evacuationOrders().begin(order, now, output) : std::nullopt;
    if (!ticket) {
        finish(order, now, now, redirect, answer);
        return;
    }
    m_calls.push_back({ order, *ticket, now, std::move(answer) });
}

void EvacuationCalls::complete(core::TimePoint now)
{
    logCommitted(now);
    std::erase_if(m_calls, [&](const Call& it) { return completeCall(it, now); });
}

bool EvacuationCalls::completeCall(const Call& call, core::TimePoint now)
{
    const auto status = m_register.evacuationOrders().statusOf(call.ticket);
    if (status == OrderStatus::Pending && now < call.receivedAt + callTimeout)
        return false;
    const bool isAcknowledged = status == OrderStatus::Acknowledged;
    if (isAcknowledged)
        m_commitLatency.record(now - call.receivedAt);
    finish(
        call.order, call.receivedAt, now, { isAcknowledged ? AnswerKind::Done : AnswerKind::Unavailable }, call.answer);
    return true;
}

void EvacuationCalls::finish(const EvacuationOrder& order, core::TimePoint receivedAt, core::TimePoint now,
    const ControlAnswer& result, const AnswerHandler& answer)
{
    m_events.record(Event::EvacuationOrdered, now, [&] {
        return nlohmann::json { { "zone", order.zone }, { "order", configuration::nameOf(order.action) },
            { "outcome", outcomeNames.nameOf(result.kind) }, { "revision", m_register.evacuations().revision },
            { "seconds", core::toSeconds(now - receivedAt) } };
    });
    answer(result);
}

void EvacuationCalls::logCommitted(core::TimePoint now)
{
    const auto& evacuations = m_register.evacuations();
    if (evacuations.revision <= m_loggedRevision)
        return;
    m_loggedRevision = evacuations.revision;
    m_events.record(Event::EvacuationsInForce, now, [&] { return fieldsOf(evacuations); });
}

void EvacuationCalls::updateMetrics()
{
    updateEvacuationGauges(m_register.evacuations(), m_metrics);
}

} // namespace ibisgw::runtime
