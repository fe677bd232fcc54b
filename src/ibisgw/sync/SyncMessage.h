#pragma once

#include "ibisgw/direct/RouteConfiguration.h"
#include "ibisgw/upstream/FailureMarker.h"
#include "ibisgw/upstream/InstanceReport.h"
#include "ibisgw/upstream/ZoneEvacuations.h"

#include <string>
#include <variant>
#include <vector>

namespace ibisgw::sync {

// Extent of the updates that a subscriber requests from a controller.
enum class FollowMode : std::uint8_t {
    Changes, // changes of the directory and the status of the controller
    StatusOnly, // only the status of the controller: configuration version, group members, zone, isCurrent
};

// Requests the changes of a controller's directory after the last update that was received, and acknowledges that
// update. Sent periodically by balancers and controllers.
struct Subscription {
    // Random number of the subscriber's process.
    std::uint64_t subscriber { 0 };
    bool isController { false };
    // Feed that the subscriber has received updates of; 0 when there is none.
    std::uint64_t feed { 0 };
    // Newest change of that feed that the subscriber holds; 0 when there is none.
    std::uint64_t acknowledged { 0 };
    // Digest of the subscriber's directory. A controller whose directory has the same digest sends no reports. 0 when
    // the digests are not to be compared.
    std::uint64_t digest { 0 };
    // Controllers that the subscriber receives updates from itself: the receiver need not relay their renewals. Set by
    // controllers only.
    std::vector<core::NodeId> directPeers;
    FollowMode mode { FollowMode::Changes };

    bool operator==(const Subscription&) const = default;
};

// The whole report of an upstream, for a subscriber that does not hold it yet.
struct InstanceItem {
    upstream::InstanceReport report;
    // Time since the upstream sent the report.
    core::Duration age { 0 };
    bool isOverdue { false };

    bool operator==(const InstanceItem&) const = default;
};

// A newer sequence number of an upstream whose report is otherwise unchanged.
struct InstanceRenewal {
    upstream::InstanceId id;
    core::Incarnation incarnation { 0 };
    std::uint64_t sequence { 0 };

    bool operator==(const InstanceRenewal&) const = default;
};

// Notice that an upstream has become overdue, or sends reports again, for a subscriber that holds its report.
struct OverdueMark {
    upstream::InstanceId id;
    core::Incarnation incarnation { 0 };
    std::uint64_t sequence { 0 };
    // Time since the last report of the upstream.
    core::Duration age { 0 };
    bool isOverdue { false };

    bool operator==(const OverdueMark&) const = default;
};

// The changes of one controller's directory after change `from`, up to and including change `to`, and the status of the
// controller.
struct DirectoryUpdate {
    // Random number of the controller's process; change numbers of different feeds are unrelated.
    std::uint64_t feed { 0 };
    std::uint64_t from { 0 };
    std::uint64_t to { 0 };
    std::vector<InstanceItem> items;
    // Sent to controllers only; balancers receive a mark when an upstream becomes overdue.
    std::vector<InstanceRenewal> renewals;
    // Newest accepted configuration that the controller has received.
    direct::ConfigurationVersion version { 0 };
    // Voters of the controller group, and the index of the log entry that set them.
    std::vector<core::NodeId> controllers;
    std::uint64_t membershipIndex { 0 };
    // There are changes after `to`, which the subscriber must request.
    bool hasMore { false };
    std::vector<OverdueMark> marks;
    // Zone of the controller.
    core::ZoneName zone;
    // The controller receives updates from a majority of the voters and holds all changes of those members.
    bool isCurrent { false };
    // Highest configuration version in the controller's log, accepted or not.
    direct::ConfigurationVersion loggedVersion { 0 };
    // The controller is a voter of the group, and its log holds every entry that it has acknowledged.
    bool isVoter { true };
    // Committed set of evacuated zones with the highest revision that the controller has received.
    upstream::ZoneEvacuations evacuations;
    // Highest revision of such a set in the controller's log, committed or not.
    std::uint64_t loggedEvacuationRevision { 0 };

    bool operator==(const DirectoryUpdate&) const = default;
};

// Requests the newest accepted configuration if its version is above `newerThan`.
struct ConfigurationRequest {
    direct::ConfigurationVersion newerThan { 0 };

    bool operator==(const ConfigurationRequest&) const = default;
};

// Reply to a ConfigurationRequest.
struct ConfigurationTransfer {
    direct::ConfigurationVersion version { 0 };
    // Text that the operator submitted, in zlib format (RFC 1950).
    std::string compressedText;

    bool operator==(const ConfigurationTransfer&) const = default;
};

// Reports to a controller that an upstream answers neither the packets of callers nor the probes of a balancer.
struct UnresponsiveReport {
    upstream::InstanceId id;
    core::Incarnation incarnation { 0 };

    bool operator==(const UnresponsiveReport&) const = default;
};

// Reports to a controller that an upstream accepts requests of callers and doesn't answer them.
struct FailureReport {
    upstream::FailureMark mark;
    // The balancer that has found it, in a report that a controller relays to the others; otherwise invalid.
    core::NodeId reporter;

    bool operator==(const FailureReport&) const = default;
};

// The upstreams that several balancers have found not to answer requests. Valid for a short time.
struct FailureMarks {
    std::vector<upstream::FailureMark> marks;

    bool operator==(const FailureMarks&) const = default;
};

// Offers a balancer permits to open flows to a cold upstream. Sent by the controller that received the report from the
// upstream itself.
struct ColdStartOffer {
    upstream::ReportId report;

    bool operator==(const ColdStartOffer&) const = default;
};

// Reply of the balancer to an offer. The permits are valid from the moment when the claim was sent.
struct ColdStartClaim {
    upstream::ReportId report;
    // Random number of the claim.
    std::uint64_t number { 0 };

    bool operator==(const ColdStartClaim&) const = default;
};

// Reply of the controller to a claim.
struct ColdStartGrant {
    upstream::ReportId report;
    std::uint64_t claim { 0 };
    // Number of flows that the balancer may open to the upstream.
    std::uint32_t permits { 0 };

    bool operator==(const ColdStartGrant&) const = default;
};

// Daemons of earlier versions ignore messages of a type that they don't know; new types are added at the end.
using SyncMessage = std::variant<Subscription, DirectoryUpdate, ConfigurationRequest, ConfigurationTransfer,
    UnresponsiveReport, FailureReport, FailureMarks, ColdStartOffer, ColdStartClaim, ColdStartGrant>;

// Sends messages to other daemons; implemented by the daemon and by test fakes. Delivery is unreliable: a message may
// be lost.
class SyncOutput {
public:
    virtual ~SyncOutput();

    virtual void send(core::NodeId, const SyncMessage&) = 0;
};

} // namespace ibisgw::sync
