#include "ibisgw/adapters/SyncCodec.h"

#include "ibisgw/adapters/detail/JsonArrayReader.h"
#include "ibisgw/adapters/detail/RaftJson.h"
#include "ibisgw/core/ObjectReader.h"

#include <algorithm>
#include <limits>

namespace ibisgw::adapters {

using namespace sync;

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t syncProtocolVersion = 3;
// Longest duration that is accepted: one day.
constexpr std::uint64_t maxDurationMs = 86'400'000;
// More zones than any deployment has. With names of at most core::maxTextBytes the list stays below the size limit of a
// message.
constexpr std::size_t maxEvacuatedZones = 256;
constexpr std::uint64_t maxPermits = std::numeric_limits<std::uint32_t>::max();

std::int64_t toMs(core::Duration duration)
{
    return std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

core::Duration fromMs(std::uint64_t ms)
{
    return std::chrono::milliseconds(ms);
}

std::uint64_t packEndpoint(core::Endpoint endpoint)
{
    return core::NodeId::fromEndpoint(endpoint).value;
}

Json toJson(const InstanceItem& item)
{
    const auto& report = item.report;
    return Json::array({ report.id.value, report.incarnation, report.sequence, static_cast<unsigned>(report.state),
        report.service, report.zone, packEndpoint(report.address), report.slots, toMs(report.coldRemaining),
        toMs(item.age), item.isOverdue });
}

InstanceItem readItem(const Json& json, detail::JsonArrayReader& parent)
{
    detail::JsonArrayReader reader(json);
    InstanceItem item;
    item.report.id.value = reader.number();
    item.report.incarnation = reader.number();
    item.report.sequence = reader.number();
    item.report.state = static_cast<upstream::InstanceState>(reader.number(2));
    item.report.service = reader.text();
    item.report.zone = reader.text();
    item.report.address = core::NodeId { reader.number() }.endpoint();
    item.report.slots = static_cast<std::uint32_t>(reader.number(0xffff));
    item.report.coldRemaining = fromMs(reader.number(maxDurationMs));
    item.age = fromMs(reader.number(maxDurationMs));
    item.isOverdue = reader.boolean();
    if (!reader.finished())
        parent.fail();
    return item;
}

InstanceRenewal readRenewal(const Json& json, detail::JsonArrayReader& parent)
{
    detail::JsonArrayReader reader(json);
    InstanceRenewal renewal;
    renewal.id.value = reader.number();
    renewal.incarnation = reader.number();
    renewal.sequence = reader.number();
    if (!reader.finished())
        parent.fail();
    return renewal;
}

OverdueMark readMark(const Json& json, detail::JsonArrayReader& parent)
{
    detail::JsonArrayReader reader(json);
    OverdueMark mark;
    mark.id.value = reader.number();
    mark.incarnation = reader.number();
    mark.sequence = reader.number();
    mark.age = fromMs(reader.number(maxDurationMs));
    mark.isOverdue = reader.boolean();
    if (!reader.finished())
        parent.fail();
    return mark;
}

Json toJson(const std::vector<core::NodeId>& nodes)
{
    auto json = Json::array();
    for (const auto& it : nodes)
        json.push_back(it.value);
    return json;
}

std::vector<core::NodeId> readNodes(detail::JsonArrayReader& reader)
{
    std::vector<core::NodeId> nodes;
    for (const auto& it : reader.array()) {
        if (!it.is_number_unsigned()) {
            reader.fail();
            return {};
        }
        nodes.push_back({ it.get<std::uint64_t>() });
    }
    return nodes;
}

bool isValid(const core::ZoneName& zone)
{
    return !zone.empty() && zone.size() <= core::maxTextBytes;
}

bool isValid(const upstream::ZoneEvacuations& evacuations)
{
    const auto& zones = evacuations.zones;
    if (zones.size() > maxEvacuatedZones || (evacuations.revision == 0 && !zones.empty()))
        return false;
    return evacuations.isOrdered() && std::ranges::all_of(zones, [](const auto& it) { return isValid(it); });
}

void readEvacuations(detail::JsonArrayReader& reader, DirectoryUpdate& message)
{
    message.evacuations.revision = reader.number();
    message.loggedEvacuationRevision = reader.number();
    const auto& zones = reader.array();
    detail::JsonArrayReader zoneReader(zones);
    for (std::size_t n = 0; n < zones.size() && !zoneReader.failed(); ++n)
        message.evacuations.zones.push_back(zoneReader.text());
    if (zoneReader.failed() || !isValid(message.evacuations))
        reader.fail();
}

void write(const Subscription& message, Json& json)
{
    json.push_back(message.subscriber);
    json.push_back(message.isController);
    json.push_back(message.feed);
    json.push_back(message.acknowledged);
    json.push_back(message.digest);
    json.push_back(toJson(message.directPeers));
    json.push_back(static_cast<unsigned>(message.mode));
}

void write(const DirectoryUpdate& message, Json& json)
{
    auto items = Json::array();
    for (const auto& it : message.items)
        items.push_back(toJson(it));
    auto renewals = Json::array();
    for (const auto& it : message.renewals)
        renewals.push_back(Json::array({ it.id.value, it.incarnation, it.sequence }));
    auto marks = Json::array();
    for (const auto& it : message.marks)
        marks.push_back(Json::array({ it.id.value, it.incarnation, it.sequence, toMs(it.age), it.isOverdue }));
    json.push_back(message.feed);
    json.push_back(message.from);
    json.push_back(message.to);
    json.push_back(std::move(items));
    json.push_back(std::move(renewals));
    json.push_back(message.version);
    json.push_back(toJson(message.controllers));
    json.push_back(message.membershipIndex);
    json.push_back(message.hasMore);
    json.push_back(std::move(marks));
    json.push_back(message.zone);
    json.push_back(message.isCurrent);
    // Daemons without the further fields reject longer updates, so they are written only if they say something.
    const bool hasEvacuations = message.evacuations.revision > 0 || message.loggedEvacuationRevision > 0;
    if (message.loggedVersion != message.version || !message.isVoter || hasEvacuations) {
        json.push_back(message.loggedVersion);
        json.push_back(message.isVoter);
    }
    if (hasEvacuations) {
        json.push_back(message.evacuations.revision);
        json.push_back(message.loggedEvacuationRevision);
        json.push_back(message.evacuations.zones);
    }
}

void write(const ConfigurationRequest& message, Json& json)
{
    json.push_back(message.newerThan);
}

void write(const ConfigurationTransfer& message, Json& json)
{
    json.push_back(message.version);
    json.push_back(detail::binaryJson(message.compressedText));
}

void write(const UnresponsiveReport& message, Json& json)
{
    json.push_back(message.id.value);
    json.push_back(message.incarnation);
}

void write(const FailureReport& message, Json& json)
{
    json.push_back(message.mark.id.value);
    json.push_back(message.mark.incarnation);
    json.push_back(message.reporter.value);
}

void write(const FailureMarks& message, Json& json)
{
    auto marks = Json::array();
    for (const auto& it : message.marks)
        marks.push_back(Json::array({ it.id.value, it.incarnation }));
    json.push_back(std::move(marks));
}

void write(const upstream::ReportId& report, Json& json)
{
    json.push_back(report.instance.value);
    json.push_back(report.incarnation);
    json.push_back(report.sequence);
}

void write(const ColdStartOffer& message, Json& json)
{
    write(message.report, json);
}

void write(const ColdStartClaim& message, Json& json)
{
    write(message.report, json);
    json.push_back(message.number);
}

void write(const ColdStartGrant& message, Json& json)
{
    write(message.report, json);
    json.push_back(message.claim);
    json.push_back(message.permits);
}

void read(detail::JsonArrayReader& reader, Subscription& message)
{
    message.subscriber = reader.number();
    message.isController = reader.boolean();
    message.feed = reader.number();
    message.acknowledged = reader.number();
    message.digest = reader.number();
    message.directPeers = readNodes(reader);
    message.mode = static_cast<FollowMode>(reader.number(1));
}

void read(detail::JsonArrayReader& reader, DirectoryUpdate& message)
{
    message.feed = reader.number();
    message.from = reader.number();
    message.to = reader.number();
    for (const auto& it : reader.array())
        message.items.push_back(readItem(it, reader));
    for (const auto& it : reader.array())
        message.renewals.push_back(readRenewal(it, reader));
    message.version = reader.number();
    message.controllers = readNodes(reader);
    message.membershipIndex = reader.number();
    message.hasMore = reader.boolean();
    for (const auto& it : reader.array())
        message.marks.push_back(readMark(it, reader));
    message.zone = reader.text();
    message.isCurrent = reader.boolean();
    message.loggedVersion = message.version;
    if (reader.finished())
        return;
    message.loggedVersion = reader.number();
    message.isVoter = reader.boolean();
    if (!reader.finished())
        readEvacuations(reader, message);
}

void read(detail::JsonArrayReader& reader, ConfigurationRequest& message)
{
    message.newerThan = reader.number();
}

void read(detail::JsonArrayReader& reader, ConfigurationTransfer& message)
{
    message.version = reader.number();
    message.compressedText = reader.bytes();
}

void read(detail::JsonArrayReader& reader, UnresponsiveReport& message)
{
    message.id.value = reader.number();
    message.incarnation = reader.number();
}

void read(detail::JsonArrayReader& reader, FailureReport& message)
{
    message.mark.id.value = reader.number();
    message.mark.incarnation = reader.number();
    message.reporter.value = reader.number();
}

void read(detail::JsonArrayReader& reader, FailureMarks& message)
{
    for (const auto& it : reader.array()) {
        detail::JsonArrayReader mark(it);
        message.marks.push_back({ { mark.number() }, mark.number() });
        if (!mark.finished())
            reader.fail();
    }
}

void read(detail::JsonArrayReader& reader, upstream::ReportId& report)
{
    report.instance.value = reader.number();
    report.incarnation = reader.number();
    report.sequence = reader.number();
}

void read(detail::JsonArrayReader& reader, ColdStartOffer& message)
{
    read(reader, message.report);
}

void read(detail::JsonArrayReader& reader, ColdStartClaim& message)
{
    read(reader, message.report);
    message.number = reader.number();
}

void read(detail::JsonArrayReader& reader, ColdStartGrant& message)
{
    read(reader, message.report);
    message.claim = reader.number();
    message.permits = static_cast<std::uint32_t>(reader.number(maxPermits));
}

// Reads the message as the alternative of the variant with index `type`; fails when there is no such alternative.
template <std::size_t index = 0>
void readMessage(detail::JsonArrayReader& reader, std::size_t type, SyncMessage& message)
{
    if constexpr (index < std::variant_size_v<SyncMessage>) {
        if (type == index)
            read(reader, message.emplace<index>());
        else
            readMessage<index + 1>(reader, type, message);
    } else {
        reader.fail();
    }
}

} // namespace

std::string encodeSyncMessage(const SyncMessage& message)
{
    auto json = Json::array({ syncProtocolVersion, message.index() });
    std::visit([&json](const auto& it) { write(it, json); }, message);
    return detail::writeCbor(json);
}

std::optional<SyncMessage> decodeSyncMessage(std::string_view bytes)
{
    const auto json = detail::parseCbor(bytes);
    detail::JsonArrayReader reader(json);
    if (reader.number() != syncProtocolVersion)
        return std::nullopt;
    const auto type = reader.number();
    SyncMessage message;
    if (!reader.failed())
        readMessage(reader, type, message);
    if (!reader.finished())
        return std::nullopt;
    return message;
}

} // namespace ibisgw::adapters
