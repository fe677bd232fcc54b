#include "ibisgw/adapters/PacketCodec.h"
#include "ibisgw/core/PcgRandomSource.h"

#include <doctest/doctest.h>

using namespace ibisgw;

TEST_SUITE("adapters")
{
    TEST_CASE("packets decode to the encoded fields, and damaged datagrams are rejected")
    {
        packet::Packet packet;
        packet.type = packet::PacketType::Request;
        packet.flow = { { 0x7f010001, 40000 }, { 0x7f000001, 443 } };
        packet.kind = 2;
        packet.request = 77;
        packet.token = { core::UpstreamId { 12345 }, 99 };
        packet.deadlineMs = 1500;
        const std::string payload = "slot 14:30";
        packet.payload = std::as_bytes(std::span(payload));
        adapters::Datagram datagram;
        REQUIRE(adapters::encodePacket(packet, datagram));

        SUBCASE("decoding returns all fields")
        {
            const auto decoded = adapters::decodePacket(datagram);
            REQUIRE(decoded);
            CHECK(decoded->type == packet.type);
            CHECK(decoded->flow == packet.flow);
            CHECK(decoded->kind == packet.kind);
            CHECK(decoded->request == packet.request);
            CHECK(decoded->token == packet.token);
            CHECK(decoded->deadlineMs == packet.deadlineMs);
            CHECK(decoded->payload.size() == payload.size());
        }
        SUBCASE("every truncation is rejected")
        {
            for (std::size_t n = 0; n < datagram.size(); ++n)
                CHECK_FALSE(adapters::decodePacket(std::span(datagram).first(n)));
        }
        SUBCASE("trailing bytes are rejected")
        {
            datagram.push_back(std::byte { 0 });
            CHECK_FALSE(adapters::decodePacket(datagram));
        }
        SUBCASE("an oversized payload is not encoded")
        {
            const std::vector<std::byte> large(adapters::maxDatagramBytes);
            packet.payload = large;
            CHECK_FALSE(adapters::encodePacket(packet, datagram));
        }
        SUBCASE("random bytes are rejected without a crash")
        {
            core::PcgRandomSource random(7);
            std::vector<std::byte> bytes;
            for (int round = 0; round < 100'000; ++round) {
                bytes.resize(random.below(64));
                for (auto& it : bytes)
                    it = static_cast<std::byte>(random.next());
                CHECK_FALSE(adapters::decodePacket(bytes));
                CHECK_FALSE(adapters::decodeAnnouncement(bytes));
            }
        }
    }
}
