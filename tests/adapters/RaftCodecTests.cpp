#include "ibisgw/adapters/RaftCodec.h"
#include "ibisgw/adapters/detail/RaftJson.h"
#include "ibisgw/core/PcgRandomSource.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::configuration;

namespace {

std::vector<RaftMessage> sampleMessages()
{
    const Membership membership { 7, { { { 1 }, 11, true, 2, 3, "a", 1 }, { { 2 }, 12, false, 4, 5, "b", 3 } },
        { { "a", 1 }, { "b", 2 } }, { { { 3 }, 13, false, 6, 7, "b", 2 } } };
    const std::vector<LogEntry> entries {
        { 1, EntryKind::NoOperation, {}, {} },
        { 2, EntryKind::Command, std::string("\0\xff text", 7), {} },
        { 3, EntryKind::Membership, {}, membership },
    };
    std::vector<RaftMessage> messages;
    const auto add = [&](auto body) { messages.push_back({ 5, 7, 11, 2, std::move(body) }); };
    add(VoteRequest { true, 9, 4 });
    add(VoteReply { true, true });
    add(AppendRequest { 8, 4, 7, 6, entries });
    add(AppendReply { true, 9, 6 });
    add(SnapshotRequest { { 9, 4, membership, "state" } });
    add(DiskCheckRequest { 77, 9, "a", true });
    add(DiskCheckReply { 11, 77, true, 3, membership });
    add(LeaveRequest {});
    add(LeaveReply { LeaveOutcome::Retained });
    add(DiskIdentityRequest { 78 });
    add(DiskIdentityReply { 78 });
    add(RejoinNotice {});
    return messages;
}

} // namespace

TEST_SUITE("adapters")
{
    TEST_CASE("Raft messages decode to the encoded fields, and malformed ones are rejected")
    {
        for (const auto& message : sampleMessages()) {
            const auto bytes = adapters::encodeRaftMessage(message);
            const auto decoded = adapters::decodeRaftMessage(bytes);
            REQUIRE(decoded);
            CHECK(*decoded == message);
            // Guards against a truncated message that is decoded as a shorter one.
            for (std::size_t n = 0; n < bytes.size(); ++n)
                CHECK_FALSE(adapters::decodeRaftMessage(std::string_view(bytes).substr(0, n)));
            CHECK_FALSE(adapters::decodeRaftMessage(bytes + '\0'));
        }
    }

    // Guards against a group of an earlier release that cannot be read any more.
    TEST_CASE("a membership that was stored without zones is read")
    {
        const auto json = nlohmann::json::parse("[7, [[1, 11, true, 2, 3], [2, 12, false, 4, 5]]]");
        const auto membership = adapters::detail::readMembership(json);
        REQUIRE(membership);
        CHECK(*membership == Membership { 7, { { { 1 }, 11, true, 2, 3 }, { { 2 }, 12, false, 4, 5 } } });
    }

    TEST_CASE("malicious bytes neither crash the decoder nor exhaust its stack")
    {
        // A million nested arrays (0x81 starts an array of one element) overflow the stack of a recursive parser.
        const std::string deeplyNested(1'000'000, '\x81');
        CHECK_FALSE(adapters::decodeRaftMessage(deeplyNested));
        core::PcgRandomSource random(3);
        for (const auto& message : sampleMessages()) {
            const auto bytes = adapters::encodeRaftMessage(message);
            for (int round = 0; round < 3000; ++round) {
                auto altered = bytes;
                altered[random.below(altered.size())] = static_cast<char>(random.next());
                // An altered message may be valid; encoding and decoding it again must then give the same message.
                if (const auto decoded = adapters::decodeRaftMessage(altered))
                    CHECK(adapters::decodeRaftMessage(adapters::encodeRaftMessage(*decoded)) == decoded);
            }
        }
    }
}
