#include "ibisgw/adapters/MessageAuthenticator.h"
#include "ibisgw/core/PcgRandomSource.h"

#include <doctest/doctest.h>
#include <string>

using namespace ibisgw;

TEST_SUITE("adapters")
{
    // Guards against forged, altered or replayed messages from an attacker on the network.
    TEST_CASE("messages between daemons are authenticated and protected against replay")
    {
        adapters::KeyRing keys { 1, {} };
        keys.keys[1].fill(std::byte { 1 });
        const core::NodeId senderId { 42 };
        adapters::MessageAuthenticator sender(senderId, keys, 10);
        adapters::MessageAuthenticator receiver(core::NodeId { 43 }, keys, 10);
        const std::string text = "drain";
        const auto body = std::as_bytes(std::span(text));
        std::vector<std::byte> message;
        REQUIRE(sender.seal(adapters::Channel::Gossip, body, message));

        SUBCASE("a sealed message is accepted once")
        {
            const auto opened = receiver.open(message);
            REQUIRE(opened);
            CHECK(opened->sender == senderId);
            CHECK(opened->body.size() == text.size());
            CHECK_FALSE(receiver.open(message));
            CHECK(receiver.counters().replayed == 1);
        }
        SUBCASE("a message with any changed bit is rejected")
        {
            for (std::size_t bit = 0; bit < message.size() * 8; ++bit) {
                auto altered = message;
                altered[bit / 8] ^= static_cast<std::byte>(1 << bit % 8);
                CHECK_FALSE(receiver.open(altered));
            }
        }
        SUBCASE("messages that arrive out of order are accepted")
        {
            std::vector<std::byte> later;
            REQUIRE(sender.seal(adapters::Channel::Gossip, body, later));
            CHECK(receiver.open(later));
            CHECK(receiver.open(message));
        }
        SUBCASE("messages from before a restart of the sender are rejected")
        {
            adapters::MessageAuthenticator restarted(senderId, keys, 11);
            std::vector<std::byte> newer;
            REQUIRE(restarted.seal(adapters::Channel::Gossip, body, newer));
            CHECK(receiver.open(newer));
            CHECK_FALSE(receiver.open(message));
        }
        SUBCASE("no message is rejected while keys are rotated, and a removed key is unknown afterwards")
        {
            auto bothKeys = keys;
            bothKeys.keys[2].fill(std::byte { 2 });
            receiver.setKeys(bothKeys);
            CHECK(receiver.open(message));
            bothKeys.signingKey = 2;
            sender.setKeys(bothKeys);
            REQUIRE(sender.seal(adapters::Channel::Gossip, body, message));
            CHECK(receiver.open(message));
            receiver.setKeys(keys);
            REQUIRE(sender.seal(adapters::Channel::Gossip, body, message));
            CHECK_FALSE(receiver.open(message));
            CHECK(receiver.counters().unknownKey == 1);
        }
        SUBCASE("random bytes are rejected")
        {
            core::PcgRandomSource random(3);
            for (int round = 0; round < 100'000; ++round) {
                std::vector<std::byte> bytes(random.below(80));
                for (auto& it : bytes)
                    it = static_cast<std::byte>(random.next());
                CHECK_FALSE(receiver.open(bytes));
            }
        }
    }
}
