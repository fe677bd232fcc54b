#pragma once

#include "ibisgw/direct/RouteConfiguration.h"
#include "ibisgw/upstream/InstanceReport.h"

#include <string>
#include <variant>
#include <vector>

namespace ibisgw::sync {

// What a subscriber takes from a controller.
enum class FollowMode : std::uint8_t {
    Changes, // the changes of the directory, and what the controller says about itself
    Heads, // only what the controller says about itself
};

// Asks a controller for everything that has changed since the last update, and acknowledges that one.
struct Subscription {
    // Random number of the subscriber's process.
    std::uint64_t subscriber { 0 };
    bool isController { false };
    // Feed and change that the subscriber holds; 0 when it holds nothing of this feed.
    std::uint64_t feed { 0 };
    std::uint64_t acknowledged { 0 };
    // Of the subscriber's directory; a feed with an equal one has nothing to send. 0 when it does not matter.
    std::uint64_t digest { 0 };
    // Controllers that the subscriber hears itself; reports that these have told of need no relay. Controllers only.
    std::vector<core::NodeId> heard;
    FollowMode mode { FollowMode::Changes };

    bool operator==(const Subscription&) const = default;
};

struct InstanceItem {
    upstream::InstanceReport report;
    // Time since the upstream reported itself.
    core::Duration age { 0 };
    bool isOverdue { false };

    bool operator==(const InstanceItem&) const = default;
};

struct InstanceRenewal {
    upstream::InstanceId id;
    core::Incarnation incarnation { 0 };
    std::uint64_t sequence { 0 };

    bool operator==(const InstanceRenewal&) const = default;
};

// An upstream that has become overdue or reports itself again, for a follower that holds its report.
struct OverdueMark {
    upstream::InstanceId id;
    core::Incarnation incarnation { 0 };
    std::uint64_t sequence { 0 };
    // Time since the upstream reported itself.
    core::Duration age { 0 };
    bool isOverdue { false };

    bool operator==(const OverdueMark&) const = default;
};

// The changes of one controller's directory after `from` up to `to`.
struct DirectoryUpdate {
    // Random number of the controller's process; change numbers of different feeds are unrelated.
    std::uint64_t feed { 0 };
    std::uint64_t from { 0 };
    std::uint64_t to { 0 };
    std::vector<InstanceItem> items;
    // For controllers only: balancers are told when an upstream becomes overdue.
    std::vector<InstanceRenewal> renewals;
    // Newest configuration that the controller knows to be accepted.
    direct::ConfigurationVersion version { 0 };
    // Members of the controller group and the index of the log entry that names them.
    std::vector<core::NodeId> controllers;
    std::uint64_t membershipIndex { 0 };
    // There are changes after `to`; the follower asks for them.
    bool hasMore { false };
    std::vector<OverdueMark> marks;
    // Zone of the controller.
    core::ZoneName zone;
    // The controller hears most of the others and holds what they know.
    bool isCurrent { false };

    bool operator==(const DirectoryUpdate&) const = default;
};

struct ConfigurationRequest {
    direct::ConfigurationVersion newerThan { 0 };

    bool operator==(const ConfigurationRequest&) const = default;
};

struct ConfigurationTransfer {
    direct::ConfigurationVersion version { 0 };
    // As the operator sent it, deflated (RFC 1950).
    std::string compressedText;

    bool operator==(const ConfigurationTransfer&) const = default;
};

// Tells a controller that an upstream answers neither the callers nor the probes of a balancer.
struct SilenceReport {
    upstream::InstanceId id;
    core::Incarnation incarnation { 0 };

    bool operator==(const SilenceReport&) const = default;
};

using SyncMessage
    = std::variant<Subscription, DirectoryUpdate, ConfigurationRequest, ConfigurationTransfer, SilenceReport>;

// Implemented by the daemon and by test fakes. A message may be lost.
class SyncOutput {
public:
    virtual ~SyncOutput();

    virtual void send(core::NodeId, const SyncMessage&) = 0;
};

} // namespace ibisgw::sync
