#include "ibisgw/adapters/detail/RaftJson.h"

#include "ibisgw/adapters/detail/DepthChecker.h"
#include "ibisgw/adapters/detail/JsonArrayReader.h"

namespace ibisgw::adapters::detail {

using configuration::EntryKind;
using configuration::LogEntry;
using configuration::Member;
using configuration::Membership;
using configuration::Snapshot;

nlohmann::json binaryJson(std::string_view bytes)
{
    return nlohmann::json::binary({ bytes.begin(), bytes.end() });
}

namespace {

nlohmann::json toJson(const Member& member)
{
    return { member.node.value, member.disk, member.voter, member.generation, member.startNonce, member.zone,
        member.admission };
}

std::optional<Member> readMember(const nlohmann::json& json)
{
    JsonArrayReader reader(json);
    Member member;
    member.node.value = reader.number();
    member.disk = reader.number();
    member.voter = reader.boolean();
    member.generation = reader.number();
    member.startNonce = reader.number();
    if (!reader.isAtEnd()) {
        member.zone = reader.text();
        member.admission = reader.number();
    }
    if (!reader.finished())
        return std::nullopt;
    return member;
}

nlohmann::json toJson(const std::vector<Member>& members)
{
    auto json = nlohmann::json::array();
    for (const auto& it : members)
        json.push_back(toJson(it));
    return json;
}

nlohmann::json toJson(const std::map<core::ZoneName, std::size_t>& initialControllers)
{
    auto json = nlohmann::json::array();
    for (const auto& [zone, count] : initialControllers)
        json.push_back({ zone, count });
    return json;
}

std::optional<std::map<core::ZoneName, std::size_t>> readInitialControllers(const nlohmann::json& json)
{
    std::map<core::ZoneName, std::size_t> initialControllers;
    for (const auto& it : json) {
        JsonArrayReader reader(it);
        auto zone = reader.text();
        const auto count = reader.number();
        if (!reader.finished() || !initialControllers.try_emplace(std::move(zone), count).second)
            return std::nullopt;
    }
    return initialControllers;
}

} // namespace

nlohmann::json toJson(const Membership& membership)
{
    return { membership.group, toJson(membership.members), toJson(membership.initialControllers),
        toJson(membership.absent) };
}

nlohmann::json toJson(const LogEntry& entry)
{
    auto json = nlohmann::json::array({ entry.term, static_cast<std::uint64_t>(entry.kind) });
    if (entry.kind == EntryKind::Command)
        json.push_back(binaryJson(entry.command));
    else if (entry.kind == EntryKind::Membership)
        json.push_back(toJson(entry.membership));
    return json;
}

nlohmann::json toJson(const Snapshot& snapshot)
{
    return { snapshot.index, snapshot.term, toJson(snapshot.membership), binaryJson(snapshot.state) };
}

std::optional<Membership> readMembership(const nlohmann::json& json)
{
    JsonArrayReader reader(json);
    Membership membership;
    membership.group = reader.number();
    for (const auto& it : reader.array()) {
        auto member = readMember(it);
        // This program writes unique members in ascending order, so other input is malformed.
        if (!member || (!membership.members.empty() && membership.members.back().node >= member->node))
            return std::nullopt;
        membership.members.push_back(std::move(*member));
    }
    if (!reader.isAtEnd()) {
        auto initialControllers = readInitialControllers(reader.array());
        if (!initialControllers)
            return std::nullopt;
        membership.initialControllers = std::move(*initialControllers);
        for (const auto& it : reader.array()) {
            auto member = readMember(it);
            if (!member)
                return std::nullopt;
            membership.absent.push_back(std::move(*member));
        }
    }
    if (!reader.finished())
        return std::nullopt;
    return membership;
}

std::optional<LogEntry> readLogEntry(const nlohmann::json& json)
{
    JsonArrayReader reader(json);
    LogEntry entry;
    entry.term = reader.number();
    entry.kind = static_cast<EntryKind>(reader.number(static_cast<std::uint64_t>(EntryKind::Membership)));
    if (entry.kind == EntryKind::Command)
        entry.command = reader.bytes();
    if (entry.kind == EntryKind::Membership) {
        auto membership = readMembership(reader.array());
        if (!membership)
            return std::nullopt;
        entry.membership = std::move(*membership);
    }
    if (!reader.finished())
        return std::nullopt;
    return entry;
}

std::optional<Snapshot> readSnapshot(const nlohmann::json& json)
{
    JsonArrayReader reader(json);
    Snapshot snapshot;
    snapshot.index = reader.number();
    snapshot.term = reader.number();
    auto membership = readMembership(reader.array());
    snapshot.state = reader.bytes();
    if (!reader.finished() || !membership)
        return std::nullopt;
    snapshot.membership = std::move(*membership);
    return snapshot;
}

nlohmann::json parseCbor(std::string_view bytes)
{
    // A Raft message nests six arrays: the message, its entries, an entry, a membership, its members and a member.
    constexpr int maxDepth = 8;
    DepthChecker checker(maxDepth);
    if (!nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &checker, nlohmann::json::input_format_t::cbor))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

std::string writeCbor(const nlohmann::json& json)
{
    std::string bytes;
    nlohmann::json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

} // namespace ibisgw::adapters::detail
