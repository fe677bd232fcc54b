#include "support/FaultSchedule.h"

#include "ibisgw/core/PcgRandomSource.h"

#include <map>

namespace support {

using namespace ibisgw;
using namespace std::chrono_literals;

namespace {

constexpr core::Endpoint serviceAddresses[] { { 0xc0000201, 443 }, { 0xc0000202, 443 } };
constexpr const char* serviceNames[] { "slotdesk", "regatta-archive" };
const std::vector<core::ZoneName> zoneNames { "a", "b", "c" };
constexpr core::KindId bookingKind = 2;
constexpr std::uint32_t bookingDeadlineMs = 2000;
// Time until a revision is in force at all balancers.
constexpr core::Duration revisionDelay = 1s;
// An open that was placed before the evacuation may reach its upstream until the caller's deadline, and then travels.
constexpr core::Duration lastCopyDelay = std::chrono::milliseconds(bookingDeadlineMs) + 500ms;
constexpr NetworkConditions conditions { 1ms, 40ms, 0.01, 0.02 };
// Machine number of all callers in BalancerGroup.
constexpr MessageQueue::Machine callersMachine = 1;

std::shared_ptr<const configuration::Document> makeDocument(
    double hedgingShare, std::vector<core::ZoneName> evacuatedZones = {})
{
    configuration::Document document { { { "peachtree" } }, {}, {}, std::move(evacuatedZones) };
    for (const auto& it : zoneNames)
        document.zones.push_back({ it, "r" });
    for (std::size_t n = 0; n < std::size(serviceNames); ++n) {
        configuration::RequestKind booking { bookingKind, "booking" };
        booking.deadlineMs = bookingDeadlineMs;
        booking.idempotent = hedgingShare > 0;
        configuration::Service service { serviceNames[n], "peachtree", { serviceAddresses[n] } };
        service.kinds = { booking };
        service.hedging.maxShare = hedgingShare;
        document.services.push_back(service);
    }
    return std::make_shared<const configuration::Document>(document);
}

class Schedule {
public:
    explicit Schedule(const FaultScheduleOptions& options)
        : m_options(options)
        , m_random(options.seed)
        , m_queue(conditions, m_random)
        , m_group(groupOptions(options), makeDocument(options.hedgingShare), m_queue, m_random)
        , m_callers(callerOptions(), m_group, m_random)
    {
        std::uint32_t address = 0x0a010001;
        for (std::size_t service = 0; service < std::size(serviceNames); ++service) {
            for (unsigned n = 0; n < options.upstreamsPerService; ++n) {
                FakeUpstreamOptions upstream { core::UpstreamId::fromEndpoint({ address++, 80 }), serviceNames[service],
                    serviceAddresses[service] };
                upstream.meanServiceTime = 60ms;
                upstream.openRefusalShare = 0.05;
                if (options.zoneOrders > 0)
                    upstream.zone = zoneNames[n % zoneNames.size()];
                m_group.addUpstream(upstream);
            }
        }
    }

    FaultTotals run()
    {
        m_queue.runFor(1500ms);
        const auto start = m_queue.now();
        const auto length = static_cast<std::uint64_t>(m_options.duration.count());
        const auto faultLength = length - static_cast<std::uint64_t>(m_options.faultsFrom.count());
        const auto flows = static_cast<std::uint64_t>(core::toSeconds(m_options.duration)) * m_options.flowsPerSecond;
        for (std::uint64_t n = 0; n < flows; ++n)
            m_queue.at(start + core::Duration(m_random.below(length)), [this](auto) { m_callers.startFlow(); });
        for (unsigned n = 0; n < m_options.faults; ++n)
            m_queue.at(start + m_options.faultsFrom + core::Duration(m_random.below(faultLength)),
                [this](auto) { injectFault(); });
        for (unsigned n = 0; n < m_options.zoneOrders; ++n)
            m_queue.at(start + core::Duration(m_random.below(length)), [this](auto) { orderZone(); });
        m_queue.runFor(m_options.duration + m_options.settleTime);
        for (const auto& [zone, since] : m_evacuatedSince)
            countLateOpens(zone, since);
        return totals();
    }

private:
    static BalancerGroupOptions groupOptions(const FaultScheduleOptions& options)
    {
        BalancerGroupOptions group;
        group.balancers = options.balancers;
        group.rules = options.rules;
        if (options.zoneOrders > 0)
            group.zones = zoneNames;
        return group;
    }

    static FaultCallersOptions callerOptions()
    {
        FaultCallersOptions callers;
        callers.services = { std::begin(serviceAddresses), std::end(serviceAddresses) };
        callers.kind = bookingKind;
        return callers;
    }

    core::Duration drawOutageDuration() { return 50ms + core::Duration(m_random.below(4'000'000)); }

    void injectFault()
    {
        const auto balancer = static_cast<unsigned>(m_random.below(m_group.balancerCount()));
        auto& upstream = *m_group.upstreams()[m_random.below(m_group.upstreams().size())];
        switch (m_random.below(7)) {
        case 0:
            restartBalancer(balancer, true);
            break;
        case 1:
            restartBalancer(balancer, false);
            break;
        case 2:
            upstream.drain();
            m_queue.after(drawOutageDuration(), [this, &upstream](auto) { restartUpstream(upstream); });
            break;
        case 3:
            restartUpstream(upstream);
            break;
        case 4:
            upstream.setShedding(true);
            m_queue.after(drawOutageDuration(), [&upstream](auto) { upstream.setShedding(false); });
            break;
        case 5:
            cut(machineOf(balancer), machineOf(static_cast<unsigned>(m_random.below(m_group.balancerCount()))));
            break;
        default:
            cut(machineOf(balancer), m_random.chance(0.5) ? upstream.options().id.value : callersMachine);
            break;
        }
    }

    // Evacuates a random zone, or restores it if it is evacuated.
    void orderZone()
    {
        const auto& zone = zoneNames[m_random.below(zoneNames.size())];
        if (const auto it = m_evacuatedSince.find(zone); it != m_evacuatedSince.end()) {
            countLateOpens(zone, it->second);
            m_evacuatedSince.erase(it);
        } else {
            m_evacuatedSince[zone] = m_queue.now();
        }
        std::vector<core::ZoneName> evacuated;
        for (const auto& [name, since] : m_evacuatedSince)
            evacuated.push_back(name);
        m_group.applyDocument(makeDocument(m_options.hedgingShare, std::move(evacuated)), revisionDelay);
    }

    void countLateOpens(const core::ZoneName& zone, core::TimePoint since)
    {
        for (const auto& it : m_group.upstreams()) {
            const bool isLate = it->lastOpenAt() && *it->lastOpenAt() > since + revisionDelay + lastCopyDelay;
            m_lateOpens += it->options().zone == zone && isLate;
        }
    }

    void restartBalancer(unsigned index, bool planned)
    {
        if (!m_group.balancer(index))
            return;
        if (planned)
            m_group.stopBalancer(index, 1s);
        else
            m_group.killBalancer(index);
        m_queue.after(1s + drawOutageDuration(), [this, index](auto) {
            if (!m_group.balancer(index))
                m_group.startBalancer(index);
        });
    }

    // The restart must come later than the longest lifetime of a packet. Otherwise duplicates of an open and a request
    // of the earlier incarnation could reach the new one, which would execute the request again. A packet makes up to 6
    // hops here, with a delay of up to 40 ms each.
    void restartUpstream(FakeUpstream& upstream)
    {
        upstream.kill();
        m_queue.after(450ms + drawOutageDuration(), [&upstream](auto) {
            // An overlapping fault may have restarted the upstream already.
            if (!upstream.isRunning())
                upstream.restart();
        });
    }

    // Cuts one direction or, in 70 % of the cases, both, for a random time.
    void cut(MessageQueue::Machine first, MessageQueue::Machine second)
    {
        m_queue.cut(first, second);
        if (m_random.chance(0.7))
            m_queue.cut(second, first);
        m_queue.after(drawOutageDuration(), [this, first, second](auto) {
            m_queue.heal(first, second);
            m_queue.heal(second, first);
        });
    }

    static MessageQueue::Machine machineOf(unsigned balancer)
    {
        return core::NodeId::fromEndpoint({ 0x0a000001 + balancer, 7000 }).value;
    }

    std::uint64_t extraAttempts() const
    {
        std::uint64_t count = 0;
        for (const auto& [request, attempts] : m_group.extraAttempts())
            count += attempts;
        return count;
    }

    std::uint64_t wrongExtraAttempts() const
    {
        return m_group.wrongExtraAttempts() + extraAttempts() - m_group.extraAttempts().size();
    }

    FaultTotals totals()
    {
        const auto callers = m_callers.totals();
        const auto& executions = m_group.executions();
        return { executions.duplicateExecutions(), callers.falseNotRun, executions.misroutedPackets(),
            callers.crossedAnswers, callers.requests, callers.answered, callers.notRun, callers.outcomeUnknown,
            executions.total(), m_lateOpens, extraAttempts(), wrongExtraAttempts() };
    }

    FaultScheduleOptions m_options;
    core::PcgRandomSource m_random;
    MessageQueue m_queue;
    BalancerGroup m_group;
    FaultCallers m_callers;
    // Evacuated zones with the time of the order.
    std::map<core::ZoneName, core::TimePoint> m_evacuatedSince;
    std::uint64_t m_lateOpens { 0 };
};

} // namespace

bool FaultTotals::isClean() const
{
    return duplicateExecutions == 0 && falseNotRun == 0 && misroutedPackets == 0 && crossedAnswers == 0
        && lateOpens == 0 && wrongExtraAttempts == 0;
}

void FaultTotals::add(const FaultTotals& other)
{
    duplicateExecutions += other.duplicateExecutions;
    falseNotRun += other.falseNotRun;
    misroutedPackets += other.misroutedPackets;
    crossedAnswers += other.crossedAnswers;
    requests += other.requests;
    answered += other.answered;
    notRun += other.notRun;
    outcomeUnknown += other.outcomeUnknown;
    executions += other.executions;
    lateOpens += other.lateOpens;
    extraAttempts += other.extraAttempts;
    wrongExtraAttempts += other.wrongExtraAttempts;
}

FaultTotals runFaultSchedule(const FaultScheduleOptions& options)
{
    return Schedule(options).run();
}

} // namespace support
