#include "ibisgw/sync/DirectorySubscriber.h"

#include "ibisgw/core/FlowKey.h"

#include <algorithm>
#include <tuple>

namespace ibisgw::sync {

namespace {

// A transfer that has not arrived by then is asked of the next controller.
constexpr core::Duration requestTimeout = std::chrono::milliseconds(300);

// Balancers ask controllers that they do not follow for their heads this often; shorter than the contact limit.
constexpr core::Duration headInterval = std::chrono::milliseconds(1500);

// A controller that leaves a subscription unanswered for this long is not followed; one that is lost is repeated
// before.
constexpr core::Duration followLimit = std::chrono::milliseconds(600);

// A controller that has been ahead of the followed one for this long knows something that did not get there.
constexpr core::Duration aheadLimit = std::chrono::seconds(5);

// A controller that has not answered for this long is asked less often.
constexpr core::Duration silenceLimit = std::chrono::seconds(10);
constexpr core::Duration silentInterval = std::chrono::seconds(1);

// After a start the controllers may be starting as well; every flow waits for them.
constexpr core::Duration startTime = std::chrono::seconds(3);
constexpr core::Duration firstContactInterval = std::chrono::milliseconds(50);

// A feed that has not sent its next part by then leaves the filling of the directory to another one.
constexpr core::Duration fillTimeout = std::chrono::milliseconds(200);

// A controller that has been silent for this long may be cut off from this one; others then relay its reports.
constexpr core::Duration relayLimit = std::chrono::seconds(1);

bool isLeaving(const InstanceItem& item)
{
    return item.report.state != upstream::InstanceState::Ready;
}

} // namespace

DirectorySubscriber::DirectorySubscriber(
    SubscriberOptions options, upstream::InstanceDirectory& directory, DepartureKeeper* departures)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_departures(departures)
{
}

void DirectorySubscriber::tick(core::TimePoint now, SyncOutput& output)
{
    dropUnknownFeeds();
    for (const auto* nodes : { &m_options.seeds, &m_members, &m_contacts }) {
        for (const auto& it : *nodes) {
            if (it != m_options.self)
                m_feeds.try_emplace(it);
        }
    }
    resumeFilling(now);
    chooseFollowed(now);
    for (auto& [node, feed] : m_feeds) {
        if (now >= feed.nextSubscription)
            subscribe(node, feed, now, output);
    }
}

// A part was lost, or its controller has stopped: any controller may send the rest.
void DirectorySubscriber::resumeFilling(core::TimePoint now)
{
    if (!m_filling.isValid() || now - m_filledAt <= fillTimeout)
        return;
    m_filling = {};
    for (auto& [node, feed] : m_feeds) {
        if (feed.heardAt && !feed.isComplete && modeOf(node, feed, now) == FollowMode::Changes)
            feed.nextSubscription = now;
    }
}

bool DirectorySubscriber::answers(const Feed& feed, core::TimePoint now) const
{
    return feed.heardAt && (!feed.unansweredSince || now - *feed.unansweredSince <= followLimit);
}

// The controllers of the own zone come first: the way is short, and a cut between zones does not matter.
void DirectorySubscriber::chooseFollowed(core::TimePoint now)
{
    if (m_options.isController)
        return;
    const auto current = m_feeds.find(m_followed);
    const bool isFollowing = current != m_feeds.end() && answers(current->second, now);
    if (isFollowing && m_filling == m_followed)
        return;
    const auto rank = [this](const auto& it) {
        const auto& [node, feed] = it;
        return std::tuple { feed.isCurrent, feed.zone == m_options.zone,
            core::rendezvousWeight(m_options.process, node.value) };
    };
    auto best = m_feeds.end();
    for (auto it = m_feeds.begin(); it != m_feeds.end(); ++it) {
        if (answers(it->second, now) && (best == m_feeds.end() || rank(*it) > rank(*best)))
            best = it;
    }
    if (best == m_feeds.end() || best->first == m_followed)
        return;
    m_followed = best->first;
    best->second.nextSubscription = now;
}

FollowMode DirectorySubscriber::modeOf(core::NodeId node, const Feed& feed, core::TimePoint now) const
{
    const bool isLeftBehind = feed.aheadSince && now - *feed.aheadSince > aheadLimit;
    return m_options.isController || node == m_followed || isLeftBehind ? FollowMode::Changes : FollowMode::Heads;
}

bool DirectorySubscriber::isFilled() const
{
    return std::ranges::any_of(m_feeds, [](const auto& it) { return it.second.isComplete; });
}

core::Duration DirectorySubscriber::intervalOf(core::NodeId node, const Feed& feed, core::TimePoint now)
{
    if (!m_startedAt)
        m_startedAt = now;
    if (!feed.heardAt)
        return now - *m_startedAt < startTime ? firstContactInterval : m_options.interval;
    if (modeOf(node, feed, now) == FollowMode::Heads)
        return headInterval;
    return now - *feed.heardAt > silenceLimit ? silentInterval : m_options.interval;
}

void DirectorySubscriber::subscribe(core::NodeId node, Feed& feed, core::TimePoint now, SyncOutput& output)
{
    feed.nextSubscription = now + intervalOf(node, feed, now);
    feed.unansweredSince = feed.unansweredSince.value_or(now);
    const auto mode = modeOf(node, feed, now);
    // Controllers count on each other's acknowledgements, so they take all changes.
    const bool needsDigest = !m_options.isController && (mode == FollowMode::Heads || !feed.isComplete);
    const auto digest = needsDigest ? m_directory.digest() : 0;
    const auto heard = m_options.isController ? heardControllers(now, relayLimit) : std::vector<core::NodeId> {};
    output.send(node,
        Subscription { m_options.process, m_options.isController, feed.feed, feed.acknowledged, digest, heard, mode });
}

void DirectorySubscriber::handle(
    core::NodeId from, const DirectoryUpdate& update, core::TimePoint now, SyncOutput& output)
{
    // A controller that is not known here tells that it is back.
    if (!m_feeds.contains(from))
        addController(from);
    auto& feed = m_feeds[from];
    noteHead(feed, update, now);
    adoptControllers(update);
    if (update.from > feed.acknowledged)
        return;
    const bool isKept = keepDepartures(update, now);
    merge(from, update, now);
    // What is not kept here is used, but another controller must not count on it.
    if (!isKept)
        return;
    const bool isNew = update.to > feed.acknowledged;
    feed.acknowledged = std::max(feed.acknowledged, update.to);
    feed.isComplete = !update.hasMore;
    feed.aheadSince = update.hasMore ? std::optional(feed.aheadSince.value_or(now)) : std::nullopt;
    if (!m_followed.isValid())
        chooseFollowed(now);
    if (needsSubscription(from, feed, update, isNew, now))
        subscribe(from, feed, now, output);
}

void DirectorySubscriber::noteHead(Feed& feed, const DirectoryUpdate& update, core::TimePoint now)
{
    feed.heardAt = now;
    feed.unansweredSince.reset();
    feed.version = update.version;
    feed.zone = update.zone;
    feed.isCurrent = update.isCurrent;
    if (update.feed == feed.feed)
        return;
    // Another process: everything is new. An update that builds on an earlier one cannot be used.
    feed.feed = update.feed;
    feed.acknowledged = 0;
    feed.isComplete = false;
}

// Whether the controller must hear of the update, or be asked for more, before the next regular subscription.
bool DirectorySubscriber::needsSubscription(
    core::NodeId from, const Feed& feed, const DirectoryUpdate& update, bool isNew, core::TimePoint now)
{
    if (modeOf(from, feed, now) == FollowMode::Heads)
        return false;
    const bool isNewlyFollowed = feed.nextSubscription == now;
    // Other controllers wait for the acknowledgement before they answer an upstream that leaves.
    const bool isAwaited = m_options.isController && isNew && std::ranges::any_of(update.items, isLeaving);
    const bool isNextPart = m_options.isController ? update.hasMore : fillsFrom(from, update.hasMore, now);
    return isNewlyFollowed || isAwaited || isNextPart;
}

// One controller fills the directory of a balancer; the others then have little to add, which the digest tells.
bool DirectorySubscriber::fillsFrom(core::NodeId from, bool hasMore, core::TimePoint now)
{
    if (!m_filling.isValid() && hasMore)
        m_filling = from;
    if (m_filling != from)
        return false;
    m_filledAt = now;
    if (!hasMore)
        m_filling = {};
    return hasMore;
}

// An acknowledgement says that a loss of power cannot undo the departures in the update.
bool DirectorySubscriber::keepDepartures(const DirectoryUpdate& update, core::TimePoint now)
{
    if (!m_departures)
        return true;
    for (const auto& it : update.items) {
        const auto* known = m_directory.find(it.report.id);
        const bool isKnown
            = known && known->report.incarnation == it.report.incarnation && known->report.state == it.report.state;
        if (isLeaving(it) && !isKnown)
            m_departures->add(it.report);
    }
    m_departures->flush(now);
    return std::ranges::all_of(update.items, [this](const auto& it) { return m_departures->isKept(it.report.id); });
}

void DirectorySubscriber::merge(core::NodeId from, const DirectoryUpdate& update, core::TimePoint now)
{
    for (const auto& it : update.items) {
        m_directory.apply(it.report, it.age, now, from);
        m_directory.setOverdue(it.report.id, it.report.incarnation, it.report.sequence, it.isOverdue, now);
    }
    for (const auto& it : update.marks) {
        if (!it.isOverdue)
            m_directory.renew(it.id, it.incarnation, it.sequence, now - it.age, from);
        m_directory.setOverdue(it.id, it.incarnation, it.sequence, it.isOverdue, now);
    }
    for (const auto& it : update.renewals)
        m_directory.renew(it.id, it.incarnation, it.sequence, now, from);
}

void DirectorySubscriber::adoptControllers(const DirectoryUpdate& update)
{
    if (update.membershipIndex < m_membershipIndex || update.controllers.empty())
        return;
    m_membershipIndex = update.membershipIndex;
    m_members = update.controllers;
}

void DirectorySubscriber::addController(core::NodeId node)
{
    constexpr std::size_t maxContacts = 16;
    if (std::ranges::find(m_contacts, node) != m_contacts.end())
        return;
    if (m_contacts.size() >= maxContacts)
        m_contacts.erase(m_contacts.begin());
    m_contacts.push_back(node);
}

void DirectorySubscriber::dropUnknownFeeds()
{
    std::erase_if(m_feeds, [this](const auto& it) {
        const auto names = [&it](const std::vector<core::NodeId>& nodes) {
            return std::ranges::find(nodes, it.first) != nodes.end();
        };
        return !names(m_options.seeds) && !names(m_members) && !names(m_contacts);
    });
}

void DirectorySubscriber::fetchConfiguration(direct::ConfigurationVersion held, core::TimePoint now, SyncOutput& output)
{
    if (now < m_nextRequest)
        return;
    std::vector<core::NodeId> holders;
    for (const auto& [node, feed] : m_feeds) {
        if (feed.version > held)
            holders.push_back(node);
    }
    if (holders.empty())
        return;
    // Each follower has an order of its own: all hear of a configuration at the same moment, and one controller
    // could not send it to a large fleet in time.
    std::ranges::sort(holders, std::ranges::greater {},
        [this](core::NodeId it) { return core::rendezvousWeight(m_options.process, it.value); });
    const auto last = std::ranges::find(holders, m_lastAsked);
    m_lastAsked = last == holders.end() || std::next(last) == holders.end() ? holders.front() : *std::next(last);
    m_nextRequest = now + requestTimeout;
    output.send(m_lastAsked, ConfigurationRequest { held });
}

std::vector<core::NodeId> DirectorySubscriber::heardControllers(core::TimePoint now, core::Duration limit) const
{
    std::vector<core::NodeId> nodes;
    for (const auto& [node, feed] : m_feeds) {
        if (feed.heardAt && now - *feed.heardAt <= limit)
            nodes.push_back(node);
    }
    return nodes;
}

std::vector<core::NodeId> DirectorySubscriber::currentControllersIn(
    const core::ZoneName& zone, core::TimePoint now) const
{
    std::vector<core::NodeId> nodes;
    for (const auto& [node, feed] : m_feeds) {
        if (feed.isCurrent && feed.zone == zone && answers(feed, now))
            nodes.push_back(node);
    }
    return nodes;
}

std::size_t DirectorySubscriber::reachableControllers(core::TimePoint now) const
{
    return heardControllers(now, contactLimit).size();
}

} // namespace ibisgw::sync
