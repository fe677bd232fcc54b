#pragma once

#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/direct/FlowForwarder.h"
#include "ibisgw/direct/LeastWorkSelector.h"
#include "support/InstanceReports.h"

#include <memory>
#include <tuple>
#include <vector>

namespace support {

using namespace ibisgw;
using namespace ibisgw::direct;
using namespace ibisgw::upstream;
using namespace std::chrono_literals;

inline constexpr core::Endpoint bookingAddress { 0xc6120001, 8080 };
inline constexpr core::Endpoint uploadAddress { 0xc6120002, 8443 };
inline constexpr core::Endpoint downloadAddress { 0xc6120003, 8443 };

inline std::shared_ptr<RouteConfiguration> configurationOf(ConfigurationVersion version)
{
    auto configuration = std::make_shared<RouteConfiguration>();
    configuration->version = version;
    configuration->services = { { "booking" }, { "archive" } };
    configuration->routes.push_back(
        { "r1", bookingAddress, RouteKind::NonIdempotent, 1, 1500ms, 150ms, { { "booking", 1 } } });
    configuration->routes.push_back({ "r2", uploadAddress, RouteKind::Upload, 2, 5s, 500ms, { { "archive", 1 } } });
    configuration->routes.push_back({ "r3", downloadAddress, RouteKind::Download, 2, 8s, 500ms, { { "archive", 1 } } });
    return configuration;
}

// A flow forwarder with an upstream directory, in virtual time.
struct ForwarderFixture {
    core::PcgRandomSource random { 5 };
    InstanceDirectory directory;
    LeastWorkSelector selector { 5 };
    FlowForwarder forwarder { { "a" }, directory, selector, random };
    core::TimePoint now { 100s };
    std::uint16_t nextPort { 1000 };

    ForwarderFixture() { forwarder.apply(configurationOf(1), now); }

    void add(std::uint64_t id, const char* service, const char* zone = "a", core::Duration cold = {})
    {
        auto report = makeReport(id);
        report.service = service;
        report.zone = zone;
        report.coldRemaining = cold;
        directory.apply(report, {}, now);
    }
    void setState(std::uint64_t id, InstanceState state)
    {
        auto report = directory.find({ id })->report;
        report.sequence += 1;
        report.state = state;
        directory.apply(report, {}, now);
    }
    FlowSegment opening(core::Endpoint service = bookingAddress)
    {
        FlowSegment segment;
        segment.flow = { { 0x64400001, nextPort++ }, service };
        segment.isOpening = true;
        return segment;
    }
    // A data packet of the caller after the upstream has accepted the flow.
    static FlowSegment dataOf(const FlowSegment& opening, std::uint32_t token, std::uint32_t acknowledged = 500)
    {
        auto segment = opening;
        segment.isOpening = false;
        segment.isAcknowledging = true;
        segment.acknowledged = acknowledged;
        segment.token = token;
        segment.payloadBytes = 100;
        return segment;
    }
    ForwardDecision handle(const FlowSegment& segment) { return forwarder.handle(segment, now); }
};

using VisibleDecision = std::tuple<ForwardAction, ForwardReason, std::uint64_t, std::uint32_t, std::uint32_t>;

// What a caller and an upstream see of the decisions on the same 2000 packets: opening packets, retransmitted ones, and
// data of open flows, while the
// upstreams 1 to 9 come and go.
inline std::vector<VisibleDecision> decisionsOn(ForwarderFixture& fixture)
{
    std::vector<VisibleDecision> decisions;
    core::PcgRandomSource random(7);
    std::vector<std::pair<FlowSegment, std::uint32_t>> flows;
    for (int n = 0; n < 2000; ++n) {
        fixture.now += random.below(20) * 1ms;
        const auto kind = random.below(20);
        if (kind == 0)
            fixture.setState(
                1 + random.below(9), random.below(3) == 0 ? InstanceState::Draining : InstanceState::Ready);
        // Packets of one of the last flows, as older ones no longer count as unanswered.
        const auto age = random.below(8);
        const bool isNew = flows.size() <= age || kind < 8;
        auto [segment, token] = isNew ? std::pair { fixture.opening(), 0U } : flows[flows.size() - 1 - age];
        if (!isNew && kind < 12)
            segment.acknowledged = 1;
        else if (!isNew)
            segment = ForwarderFixture::dataOf(segment, token);
        const auto it = fixture.handle(segment);
        fixture.forwarder.tick(fixture.now);
        if (isNew)
            flows.emplace_back(segment, it.token);
        decisions.emplace_back(it.action, it.reason, it.instance.value, it.token, it.candidates);
    }
    return decisions;
}

} // namespace support
