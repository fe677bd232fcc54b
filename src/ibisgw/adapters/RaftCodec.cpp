#include "ibisgw/adapters/RaftCodec.h"

#include "ibisgw/adapters/detail/JsonArrayReader.h"
#include "ibisgw/adapters/detail/RaftJson.h"

namespace ibisgw::adapters {

using namespace configuration;

namespace {

constexpr std::uint64_t raftProtocolVersion = 4;

using Json = nlohmann::json;
using Body = decltype(RaftMessage::body);

void write(const VoteRequest& body, Json& json)
{
    json.push_back(body.preVote);
    json.push_back(body.lastIndex);
    json.push_back(body.lastTerm);
}

void write(const VoteReply& body, Json& json)
{
    json.push_back(body.preVote);
    json.push_back(body.granted);
}

void write(const AppendRequest& body, Json& json)
{
    json.push_back(body.previousIndex);
    json.push_back(body.previousTerm);
    json.push_back(body.commitIndex);
    json.push_back(body.readSequence);
    auto entries = Json::array();
    for (const auto& it : body.entries)
        entries.push_back(detail::toJson(it));
    json.push_back(std::move(entries));
}

void write(const AppendReply& body, Json& json)
{
    json.push_back(body.success);
    json.push_back(body.matchIndex);
    json.push_back(body.readSequence);
}

void write(const SnapshotRequest& body, Json& json)
{
    json.push_back(detail::toJson(body.snapshot));
}

void write(const DiskCheckRequest& body, Json& json)
{
    json.push_back(body.startNonce);
    json.push_back(body.lastIndex);
    json.push_back(body.zone);
    json.push_back(body.isFirstStart);
}

void write(const DiskCheckReply& body, Json& json)
{
    json.push_back(body.disk);
    json.push_back(body.startNonce);
    json.push_back(body.outdated);
    json.push_back(body.membershipIndex);
    json.push_back(detail::toJson(body.membership));
}

void write(const LeaveRequest&, Json&) { }

void write(const LeaveReply& body, Json& json)
{
    json.push_back(static_cast<unsigned>(body.outcome));
}

void write(const DiskIdentityRequest& body, Json& json)
{
    json.push_back(body.nonce);
}

void write(const DiskIdentityReply& body, Json& json)
{
    json.push_back(body.nonce);
}

void write(const RejoinNotice&, Json&) { }

void read(detail::JsonArrayReader& reader, VoteRequest& body)
{
    body.preVote = reader.boolean();
    body.lastIndex = reader.number();
    body.lastTerm = reader.number();
}

void read(detail::JsonArrayReader& reader, VoteReply& body)
{
    body.preVote = reader.boolean();
    body.granted = reader.boolean();
}

void read(detail::JsonArrayReader& reader, AppendRequest& body)
{
    body.previousIndex = reader.number();
    body.previousTerm = reader.number();
    body.commitIndex = reader.number();
    body.readSequence = reader.number();
    for (const auto& it : reader.array()) {
        auto entry = detail::readLogEntry(it);
        if (!entry) {
            reader.fail();
            return;
        }
        body.entries.push_back(std::move(*entry));
    }
}

void read(detail::JsonArrayReader& reader, AppendReply& body)
{
    body.success = reader.boolean();
    body.matchIndex = reader.number();
    body.readSequence = reader.number();
}

void read(detail::JsonArrayReader& reader, SnapshotRequest& body)
{
    auto snapshot = detail::readSnapshot(reader.array());
    if (snapshot)
        body.snapshot = std::move(*snapshot);
    else
        reader.fail();
}

void read(detail::JsonArrayReader& reader, DiskCheckRequest& body)
{
    body.startNonce = reader.number();
    body.lastIndex = reader.number();
    body.zone = reader.text();
    body.isFirstStart = reader.boolean();
}

void read(detail::JsonArrayReader& reader, DiskCheckReply& body)
{
    body.disk = reader.number();
    body.startNonce = reader.number();
    body.outdated = reader.boolean();
    body.membershipIndex = reader.number();
    auto membership = detail::readMembership(reader.array());
    if (membership)
        body.membership = std::move(*membership);
    else
        reader.fail();
}

void read(detail::JsonArrayReader&, LeaveRequest&) { }

void read(detail::JsonArrayReader& reader, LeaveReply& body)
{
    body.outcome = static_cast<LeaveOutcome>(reader.number(static_cast<unsigned>(LeaveOutcome::Retained)));
}

void read(detail::JsonArrayReader& reader, DiskIdentityRequest& body)
{
    body.nonce = reader.number();
}

void read(detail::JsonArrayReader& reader, DiskIdentityReply& body)
{
    body.nonce = reader.number();
}

void read(detail::JsonArrayReader&, RejoinNotice&) { }

// Reads the body as the alternative of the variant with index `type`; fails when there is no such alternative.
template <std::size_t index = 0> void readBody(detail::JsonArrayReader& reader, std::size_t type, Body& body)
{
    if constexpr (index < std::variant_size_v<Body>) {
        if (type == index)
            read(reader, body.emplace<index>());
        else
            readBody<index + 1>(reader, type, body);
    } else {
        reader.fail();
    }
}

} // namespace

std::string encodeRaftMessage(const RaftMessage& message)
{
    auto json = Json::array(
        { raftProtocolVersion, message.body.index(), message.term, message.group, message.disk, message.generation });
    std::visit([&json](const auto& body) { write(body, json); }, message.body);
    return detail::writeCbor(json);
}

std::optional<RaftMessage> decodeRaftMessage(std::string_view bytes)
{
    if (bytes.size() > maxRaftMessageBytes)
        return std::nullopt;
    const auto json = detail::parseCbor(bytes);
    detail::JsonArrayReader reader(json);
    if (reader.number() != raftProtocolVersion)
        return std::nullopt;
    const auto type = reader.number();
    RaftMessage message;
    message.term = reader.number();
    message.group = reader.number();
    message.disk = reader.number();
    message.generation = reader.number();
    if (!reader.failed())
        readBody(reader, type, message.body);
    if (!reader.finished())
        return std::nullopt;
    return message;
}

} // namespace ibisgw::adapters
