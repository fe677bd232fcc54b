#include "Measures.h"

#include "support/MembershipCluster.h"

#include <algorithm>
#include <ctime>

namespace bench {

namespace {

using namespace ibisgw;
using membership::MemberState;
using support::ClusterOptions;
using support::MembershipCluster;

constexpr std::size_t designUpstreamsPerZone = 683;
constexpr std::size_t designAddresses = 480;

// Nine daemons in three zones with a common group, as today's users have them.
ClusterOptions todaysOptions(double loss, std::uint64_t seed)
{
    ClusterOptions options;
    options.network = { std::chrono::milliseconds(1), std::chrono::milliseconds(3), loss, 0.0 };
    options.seed = seed;
    return options;
}

// One or more zones of the design size; each zone is a group.
ClusterOptions zoneOptions(std::size_t zones, std::size_t daemonsPerZone, double loss, std::uint64_t seed)
{
    auto options = todaysOptions(loss, seed);
    options.zones = zones;
    options.daemonsPerZone = daemonsPerZone;
    options.groupSpansZones = false;
    return options;
}

bool settle(MembershipCluster& cluster, core::Duration limit = std::chrono::seconds(30))
{
    cluster.runUntil([&] { return cluster.hasConverged() && cluster.allSynchronized(); }, limit);
    return cluster.hasConverged() && cluster.allSynchronized();
}

// Every upstream announces itself once a second to a random daemon, as the fabric sprays announcements.
class AnnouncementLoad {
public:
    AnnouncementLoad(MembershipCluster& cluster, std::size_t upstreams, std::uint64_t seed)
        : m_cluster(cluster)
        , m_random(seed + 1)
    {
        for (std::size_t n = 0; n < upstreams; ++n)
            schedule(n, 2, core::Duration(static_cast<std::int64_t>(m_random.below(1'000'000))));
    }

private:
    void schedule(std::size_t upstream, std::uint64_t sequence, core::Duration delay)
    {
        m_cluster.queue().after(delay, [this, upstream, sequence](core::TimePoint now) {
            const auto target = m_random.below(m_cluster.size());
            if (m_cluster.daemon(target).isRunning)
                m_cluster.node(target).publish(support::makeAnnouncement(upstream, sequence), now);
            schedule(upstream, sequence + 1, std::chrono::seconds(1));
        });
    }

    MembershipCluster& m_cluster;
    core::PcgRandomSource m_random;
};

// Brings the upstreams into all tables at once, so that the steady state is measured.
void teachUpstreams(MembershipCluster& cluster, std::size_t upstreams)
{
    membership::GossipMessage message;
    for (std::size_t n = 0; n < upstreams; ++n)
        message.announcements.push_back(support::makeAnnouncement(n, 1));
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        const auto from = (n + 1) % cluster.size();
        message.incarnation = cluster.node(from).self().incarnation;
        cluster.node(n).handleMessage(cluster.id(from), message, cluster.now(), cluster.daemon(n));
    }
}

double secondsSince(std::clock_t start)
{
    return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

MeasureResult measureDetection(std::uint64_t seed)
{
    double worst = 0;
    double sum = 0;
    constexpr std::size_t rounds = 40;
    for (std::size_t round = 0; round < rounds; ++round) {
        MembershipCluster cluster(todaysOptions(0.01, seed * 1000 + round));
        settle(cluster);
        AnnouncementLoad load(cluster, 18, seed);
        cluster.runFor(std::chrono::seconds(5) + std::chrono::milliseconds(37 * round));
        const auto victim = round % cluster.size();
        cluster.kill(victim);
        const auto time = core::toSeconds(cluster.runUntil(
            [&] { return cluster.countSeeing(victim, MemberState::Dead) == 8; }, std::chrono::seconds(20)));
        worst = std::max(worst, time);
        sum += time;
    }
    return { worst, 5, Comparison::AtMost, { { "mean", sum / rounds }, { "kills", rounds } } };
}

MeasureResult measureFalseDeaths(std::uint64_t seed)
{
    MembershipCluster cluster(todaysOptions(0.05, seed));
    settle(cluster);
    cluster.runFor(std::chrono::seconds(10));
    // A death that is refuted at once counts too: it takes the member out of the group and brings it back.
    const auto groupChanges = [&] {
        std::size_t changes = 0;
        for (std::size_t n = 0; n < cluster.size(); ++n)
            changes += cluster.daemon(n).groupChanges;
        return changes;
    };
    const auto before = groupChanges();
    std::size_t suspicions = 0;
    constexpr int seconds = 3600;
    for (int second = 0; second < seconds; ++second) {
        cluster.runFor(std::chrono::seconds(1));
        for (std::size_t n = 0; n < cluster.size(); ++n)
            suspicions += cluster.countSeeing(n, MemberState::Suspect) > 0 ? 1 : 0;
    }
    return { static_cast<double>(groupChanges() - before), 0, Comparison::AtMost,
        { { "seconds", seconds }, { "suspected_member_seconds", suspicions } } };
}

// Traffic and age of load reports in one zone (or today's group) with its upstreams and changes.
nlohmann::json measureTraffic(ClusterOptions options, std::size_t upstreams, int seconds)
{
    const auto start = std::clock();
    MembershipCluster cluster(options);
    settle(cluster);
    cluster.daemon(0).node->publishRevision(
        support::makeAddressRevision(1, designAddresses), cluster.now(), cluster.daemon(0));
    cluster.runUntil([&] { return cluster.allInForce(1); }, std::chrono::seconds(60));
    teachUpstreams(cluster, upstreams);
    AnnouncementLoad load(cluster, upstreams, options.seed);
    // Leases of the first announcements have expired or have been renewed by then.
    cluster.runFor(std::chrono::seconds(25));
    const auto startBytes = cluster.peakBytesPerSecond();
    cluster.resetTraffic();
    double ageSum = 0;
    double oldest = 0;
    double samples = 0;
    std::size_t expired = 0;
    core::Revision revision = 1;
    for (int second = 0; second < seconds; ++second) {
        // 630 changes a day are one in 137 s; one in 10 s is the bound's worst case.
        if (second % 10 == 5) {
            auto& origin = cluster.daemon(revision % cluster.size());
            ++revision;
            origin.node->publishRevision(
                support::makeAddressRevision(revision, designAddresses), cluster.now(), origin);
        }
        cluster.runFor(std::chrono::seconds(1));
        for (std::size_t n = 0; n < cluster.size(); n += 7) {
            const auto& table = cluster.node(n).announcements();
            expired += upstreams - table.size();
            for (std::size_t number = 0; number < upstreams; number += 5) {
                const auto* entry = table.find(support::makeAnnouncement(number, 1).upstream);
                if (!entry)
                    continue;
                const auto age = core::toSeconds(cluster.now() - entry->renewedAt);
                ageSum += age;
                oldest = std::max(oldest, age);
                ++samples;
            }
        }
    }
    std::uint64_t mostBytes = 0;
    std::uint64_t allBytes = 0;
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        mostBytes = std::max(mostBytes, cluster.daemon(n).bytes);
        allBytes += cluster.daemon(n).bytes;
    }
    return {
        { "daemons", cluster.size() },
        { "upstreams", upstreams },
        { "worst_second_bytes", std::max(startBytes, cluster.peakBytesPerSecond()) },
        { "worst_second_bytes_steady", cluster.peakBytesPerSecond() },
        { "mean_bytes_per_s", static_cast<double>(allBytes) / static_cast<double>(cluster.size()) / seconds },
        { "busiest_mean_bytes_per_s", static_cast<double>(mostBytes) / seconds },
        { "messages_per_s", cluster.messagesPerSecond(std::chrono::seconds(seconds)) },
        { "load_renewal_age_mean_s", ageSum / samples },
        { "load_renewal_age_max_s", oldest },
        { "expired_leases", expired },
        { "revisions_in_force", cluster.allInForce(revision - 1) },
        { "cpu_s", secondsSince(start) },
    };
}

MeasureResult measureControlBytes(std::uint64_t seed)
{
    auto nine = todaysOptions(0.01, seed);
    MeasureResult result { 0, 4096, Comparison::AtMost };
    result.details["at_9"] = measureTraffic(nine, 18, 30);
    result.details["at_36"] = measureTraffic(zoneOptions(1, 36, 0.01, seed), 280, 20);
    result.details["at_88"] = measureTraffic(zoneOptions(1, 88, 0.01, seed), designUpstreamsPerZone, 20);
    // At 530 daemons in six zones a delegate sends five summaries a second more; a change of the configuration, one
    // in 137 s, takes fewer bytes than the one in 10 s that is measured. The worst second is limited by the budget.
    constexpr double summaryBytes = 110;
    result.details["calculated_530_delegate_mean_bytes_per_s"]
        = result.details["at_88"]["busiest_mean_bytes_per_s"].get<double>()
        + 5 * (summaryBytes + membership::ControlBudget::overheadBytes);
    for (const auto* size : { "at_9", "at_36", "at_88" })
        result.value = std::max(result.value, result.details[size]["worst_second_bytes"].get<double>());
    return result;
}

// Time until a change is in force on all daemons, worst of several changes.
double worstInForce(MembershipCluster& cluster, std::size_t addresses, int changes)
{
    double worst = 0;
    core::Revision revision = 1;
    const auto publishAt = [&](std::size_t index) {
        auto& origin = cluster.daemon(index);
        origin.node->publishRevision(support::makeAddressRevision(revision, addresses), cluster.now(), origin);
    };
    // Daemons hold the first document already, as from their data folder.
    for (std::size_t n = 0; n < cluster.size(); ++n)
        publishAt(n);
    cluster.runFor(std::chrono::seconds(10));
    for (int n = 0; n < changes; ++n) {
        cluster.runFor(std::chrono::milliseconds(1700));
        ++revision;
        publishAt(revision * 5 % cluster.size());
        worst = std::max(worst,
            core::toSeconds(cluster.runUntil([&] { return cluster.allInForce(revision); }, std::chrono::seconds(30))));
    }
    return worst;
}

MeasureResult measureInForce(std::uint64_t seed)
{
    double worst = 0;
    for (std::uint64_t round = 0; round < 5; ++round) {
        MembershipCluster cluster(todaysOptions(0.01, seed * 1000 + round));
        settle(cluster);
        AnnouncementLoad load(cluster, 18, seed);
        worst = std::max(worst, worstInForce(cluster, 20, 20));
    }
    return { worst, 3, Comparison::AtMost, { { "changes", 100 } } };
}

// The design size in three steps that are added: the origin's zone of 88 daemons by the slope over 9, 36 and 88
// daemons, a document that every daemon already holds but for the change, and one step between zones.
MeasureResult measureInForce530(std::uint64_t seed)
{
    const auto start = std::clock();
    MeasureResult result { 0, 9, Comparison::AtMost };
    double within88 = 0;
    for (const std::size_t daemons : { 9, 36, 88 }) {
        MembershipCluster cluster(zoneOptions(1, daemons, 0.01, seed));
        settle(cluster);
        const auto worst = worstInForce(cluster, designAddresses, 5);
        result.details["zone_of_" + std::to_string(daemons)] = worst;
        within88 = worst;
    }
    MembershipCluster cluster(zoneOptions(6, 9, 0.01, seed));
    settle(cluster);
    const auto sixZones = worstInForce(cluster, designAddresses, 10);
    const auto step = std::max(0.0, sixZones - result.details["zone_of_9"].get<double>());
    result.details["six_zones_of_9"] = sixZones;
    result.details["step_between_zones"] = step;
    result.details["cpu_s"] = secondsSince(start);
    result.value = within88 + step;
    return result;
}

MeasureResult measureDrainKnown(std::uint64_t seed)
{
    double worst = 0;
    constexpr std::size_t upstreams = 18;
    for (std::uint64_t round = 0; round < 5; ++round) {
        MembershipCluster cluster(todaysOptions(0.01, seed * 1000 + round));
        settle(cluster);
        AnnouncementLoad load(cluster, upstreams, seed);
        cluster.runFor(std::chrono::seconds(10));
        for (std::size_t n = 0; n < upstreams; ++n) {
            // The load above goes on with upstreams 0 to 17; the draining ones are others.
            auto announcement = support::makeAnnouncement(100 + n, 1);
            cluster.node(n % 9).publish(announcement, cluster.now());
            cluster.runFor(std::chrono::seconds(3));
            announcement.sequence = 2;
            announcement.state = upstream::UpstreamState::Draining;
            cluster.node((n + 4) % 9).publish(announcement, cluster.now());
            const auto isKnown = [&] {
                for (std::size_t other = 0; other < cluster.size(); ++other) {
                    const auto* entry = cluster.node(other).announcements().find(announcement.upstream);
                    if (!entry || entry->announcement.state != upstream::UpstreamState::Draining)
                        return false;
                }
                return true;
            };
            worst = std::max(worst, core::toSeconds(cluster.runUntil(isKnown, std::chrono::seconds(20))));
        }
    }
    return { worst, 3, Comparison::AtMost, { { "drains", 5 * upstreams } } };
}

} // namespace

void addMembershipMeasures(MeasureList& measures)
{
    measures.push_back({ "membership_detect_s", "s", true, measureDetection });
    measures.push_back({ "membership_false_deaths", "count", true, measureFalseDeaths });
    measures.push_back({ "control_bytes_per_s", "bytes/s", true, measureControlBytes });
    measures.push_back({ "config_in_force_s", "s", true, measureInForce });
    measures.push_back({ "config_in_force_530_s", "s", true, measureInForce530 });
    measures.push_back({ "drain_known_s", "s", true, measureDrainKnown });
}

} // namespace bench
