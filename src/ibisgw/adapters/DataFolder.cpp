#include "ibisgw/adapters/DataFolder.h"

#include "ibisgw/adapters/detail/DataFolderContents.h"

#include <nlohmann/json.hpp>

namespace ibisgw::adapters {

using namespace configuration;

namespace {

nlohmann::json describe(const Membership& membership)
{
    auto members = nlohmann::json::array();
    for (const auto& it : membership.members)
        members.push_back({ { "node", it.node.endpoint().toString() }, { "disk", it.disk }, { "voter", it.voter } });
    return { { "group", membership.group }, { "members", std::move(members) } };
}

// Decodes a command or a snapshot state from CBOR. Bytes that are not valid CBOR are shown as binary.
nlohmann::json describeBytes(const std::string& bytes)
{
    auto json = nlohmann::json::from_cbor(bytes, true, false);
    if (json.is_discarded())
        return nlohmann::json::binary({ bytes.begin(), bytes.end() });
    return json;
}

nlohmann::json describe(LogIndex index, const LogEntry& entry)
{
    nlohmann::json json { { "index", index }, { "term", entry.term } };
    switch (entry.kind) {
    case EntryKind::NoOperation:
        json["kind"] = "no_operation";
        break;
    case EntryKind::Command:
        json["kind"] = "command";
        json["command"] = describeBytes(entry.command);
        break;
    case EntryKind::Membership:
        json["kind"] = "membership";
        json["membership"] = describe(entry.membership);
        break;
    }
    return json;
}

nlohmann::json describe(const detail::DataFolderContents& contents)
{
    const auto& state = contents.state;
    auto membership = state.snapshot.membership;
    for (const auto& it : state.entries) {
        if (it.kind == EntryKind::Membership)
            membership = it.membership;
    }
    return {
        { "exists", contents.exists },
        { "disk", state.disk },
        { "generation", state.generation },
        { "term", state.vote.term },
        { "voted_for", state.vote.votedFor.isValid() ? state.vote.votedFor.endpoint().toString() : "" },
        { "snapshot_index", state.snapshot.index },
        { "last_index", state.snapshot.index + state.entries.size() },
        { "membership", describe(membership) },
        { "records", contents.records },
        { "torn_bytes", contents.tornBytes },
        { "log_bytes", contents.logBytes },
        { "snapshot_bytes", contents.snapshotBytes },
    };
}

} // namespace

core::Result<nlohmann::json> verifyDataFolder(const std::string& folder)
{
    BOOST_LEAF_AUTO(contents, detail::readDataFolder(folder));
    return describe(contents);
}

core::Result<nlohmann::json> dumpDataFolder(const std::string& folder)
{
    BOOST_LEAF_AUTO(contents, detail::readDataFolder(folder));
    auto json = describe(contents);
    json["snapshot_state"] = describeBytes(contents.state.snapshot.state);
    json["entries"] = nlohmann::json::array();
    LogIndex index = contents.state.snapshot.index;
    for (const auto& it : contents.state.entries)
        json["entries"].push_back(describe(++index, it));
    return json;
}

} // namespace ibisgw::adapters
