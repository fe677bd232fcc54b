#include "ibisgw/adapters/GossipCodec.h"
#include "ibisgw/adapters/MessageAuthenticator.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/membership/ControlBudget.h"
#include "support/MembershipCluster.h"

#include <doctest/doctest.h>

using namespace ibisgw;

namespace {

// A message in which every field is set.
membership::GossipMessage fullMessage()
{
    membership::GossipMessage message;
    message.type = membership::MessageType::Ack;
    message.probe = 70'000;
    message.subject = { 77 };
    message.incarnation = 1'700'000'000'123;
    message.head = { 12, 0xfedcba9876543210 };
    message.flowEpoch = 3;
    message.flowSequence = 900;
    message.members.push_back(
        { { 5 }, "vm-5", "bern", "ch", "g", 3, 9, membership::MemberState::Suspect, true, 12, { 6 } });
    message.announcements.push_back(support::makeAnnouncement(3, 400));
    message.ranges.push_back({ { 1 }, { 9 }, true });
    message.loads.push_back({ { 1 }, { 9 }, 55, { 1, 2, 3, 4 } });
    message.flowRecords
        = { { { 5 }, 3, 8, { 9, 9, 9 } }, { { 5 }, 3, 9, { 8 } }, { { 5 }, 3, 11, {} }, { { 6 }, 3, 12, { 7 } } };
    message.flowRequests.push_back({ { 5 }, 3, 8, 10 });
    message.revisionRequest = { { 3, 4 }, { 5, 6 }, 1024 };
    message.deltas.push_back({ { 11, 1 }, { 12, 2 }, "[]", "operator", "s-1" });
    message.piece = { { 12, 2 }, 2000, 1024, "abc", "operator", "s-1" };
    message.zones.push_back({ "bern", 4, { 12, 2 }, 11, 3, 2, { { 5 }, { 6 } } });
    message.flowHeads.push_back({ { 5 }, 3, 2, 10 });
    return message;
}

} // namespace

TEST_SUITE("membership")
{
    TEST_CASE("a gossip message is equal after encoding and decoding, and malformed ones are rejected")
    {
        const auto message = fullMessage();
        std::vector<std::byte> body;
        REQUIRE(adapters::encodeGossip(message, body));

        SUBCASE("all fields are decoded")
        {
            const auto decoded = adapters::decodeGossip(body);
            REQUIRE(decoded);
            std::vector<std::byte> again;
            REQUIRE(adapters::encodeGossip(*decoded, again));
            CHECK(again == body);
            CHECK(decoded->members == message.members);
            CHECK(decoded->flowRecords == message.flowRecords);
            CHECK(decoded->head == message.head);
            CHECK(decoded->piece->bytes == "abc");
            CHECK(decoded->zones.front().delegates.size() == 2);
        }
        SUBCASE("the size that is charged to the budget is the encoded size")
        {
            CHECK(membership::encodedSize(message) == body.size());
            CHECK(membership::encodedSize({}) < 30);
        }
        SUBCASE("the envelope takes no more bytes than the budget reserves for it")
        {
            adapters::KeyRing keys { 255, { { 255, adapters::SharedKey {} } } };
            adapters::MessageAuthenticator authenticator({ (std::uint64_t { 1 } << 48) - 1 }, keys, UINT64_MAX);
            std::vector<std::byte> datagram;
            for (int n = 0; n < 100'000; ++n)
                REQUIRE(authenticator.seal(adapters::Channel::Gossip, body, datagram));
            CHECK(28 + datagram.size() - body.size() <= membership::ControlBudget::overheadBytes);
        }
        SUBCASE("every truncation is rejected")
        {
            for (std::size_t n = 0; n < body.size(); ++n)
                CHECK_FALSE(adapters::decodeGossip(std::span(body).first(n)));
        }
        SUBCASE("trailing bytes are rejected")
        {
            body.push_back(std::byte { 0 });
            CHECK_FALSE(adapters::decodeGossip(body));
        }
        SUBCASE("an oversized message is not encoded")
        {
            auto large = message;
            large.piece->bytes.assign(membership::maxBodyBytes, 'x');
            CHECK_FALSE(adapters::encodeGossip(large, body));
        }
        SUBCASE("values out of range are rejected")
        {
            const auto isRejected = [&](const membership::GossipMessage& invalid) {
                return adapters::encodeGossip(invalid, body) && !adapters::decodeGossip(body);
            };
            auto invalid = message;
            invalid.members.front().state = static_cast<membership::MemberState>(4);
            CHECK(isRejected(invalid));
            invalid = message;
            invalid.members.front().id = {};
            CHECK(isRejected(invalid));
            invalid = message;
            invalid.loads.front().loads.pop_back();
            CHECK(isRejected(invalid));
            invalid = message;
            invalid.piece->offset = 1999;
            CHECK(isRejected(invalid));
            invalid = message;
            invalid.deltas.front().base.revision = 12;
            CHECK(isRejected(invalid));
            invalid = message;
            invalid.ranges.front().first = { 10 };
            CHECK(isRejected(invalid));
        }
        SUBCASE("altered bytes are rejected or decode into a message of valid size")
        {
            core::PcgRandomSource random(7);
            for (int round = 0; round < 50'000; ++round) {
                auto altered = body;
                for (int n = 0; n < 3; ++n)
                    altered[random.below(altered.size())] = static_cast<std::byte>(random.next());
                if (const auto decoded = adapters::decodeGossip(altered))
                    CHECK(membership::encodedSize(*decoded) <= membership::maxBodyBytes + 16);
            }
        }
    }
}
