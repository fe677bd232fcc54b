#include "ibisgw/configuration/EvacuationCodec.h"
#include "ibisgw/configuration/RegisterState.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::configuration;

namespace {

using namespace std::string_literals;

const upstream::ZoneEvacuations twoZones { 7, { "basel", "bern" } };

bool isRestored(RegisterState& state, const std::string& snapshot)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::Result<bool> {
            BOOST_LEAF_CHECK(state.restore(snapshot));
            return true;
        },
        [](const core::Error& error) {
            CHECK(error.kind == core::ErrorKind::DataCorrupted);
            CHECK_FALSE(error.message.empty());
            return false;
        },
        [] { return false; });
}

// The set that the state holds after a command with these bytes behind the version 0.
upstream::ZoneEvacuations afterPayload(const std::string& payload)
{
    RegisterState state;
    state.apply(std::string(8, '\0') + payload);
    return state.evacuations();
}

} // namespace

TEST_SUITE("configuration")
{
    TEST_CASE("the state of the register holds the evacuated zones beside the configuration")
    {
        RegisterState state;
        state.apply(RegisterState::encode(3, "text"));

        // Guards against stored data that a daemon cannot read after an upgrade, or after a return to the earlier
        // release while no order was given.
        SUBCASE("without an order the snapshot has the format of earlier releases")
        {
            CHECK(state.takeSnapshot() == "\0\0\0\0\0\0\0\3text"s);
            CHECK(RegisterState().takeSnapshot().empty());
            RegisterState restored;
            REQUIRE(isRestored(restored, "\0\0\0\0\0\0\0\3text"s));
            CHECK(restored.version() == 3);
            CHECK(restored.text() == "text");
            CHECK(restored.evacuations() == upstream::ZoneEvacuations {});
        }
        // Guards against an earlier release that takes a set of zones for a configuration.
        SUBCASE("the command and the snapshot begin with version 0, which earlier releases ignore or refuse")
        {
            const auto command = RegisterState::encode(twoZones);
            CHECK(command.substr(0, 8) == std::string(8, '\0'));
            CHECK(RegisterState::versionOf(command) == 0);
            state.apply(command);
            CHECK(state.version() == 3);
            CHECK(state.takeSnapshot().substr(0, 8) == std::string(8, '\0'));
        }
        SUBCASE("a snapshot restores both, also without a configuration")
        {
            RegisterState withoutText;
            for (auto* it : { &state, &withoutText }) {
                it->apply(RegisterState::encode(twoZones));
                RegisterState restored;
                restored.apply(RegisterState::encode({ 9, { "chur" } }));
                REQUIRE(isRestored(restored, it->takeSnapshot()));
                CHECK(restored.version() == it->version());
                CHECK(restored.text() == it->text());
                CHECK(restored.evacuations() == twoZones);
            }
        }
        // Guards against a repeated or late entry that brings back an earlier set.
        SUBCASE("a set with a lower or equal revision has no effect")
        {
            state.apply(RegisterState::encode(twoZones));
            state.apply(RegisterState::encode({ 7, { "chur" } }));
            state.apply(RegisterState::encode({ 6, {} }));
            CHECK(state.evacuations() == twoZones);
            state.apply(RegisterState::encode({ 8, {} }));
            CHECK(state.evacuations() == upstream::ZoneEvacuations { 8, {} });
        }
    }

    // Guards against damaged data that is taken for an order, or that ends the controller.
    TEST_CASE("malformed and oversized sets of evacuated zones are refused")
    {
        const auto valid = encodeEvacuations(twoZones);
        REQUIRE(afterPayload(valid) == twoZones);

        SUBCASE("in a command")
        {
            for (std::size_t size = 0; size < valid.size(); ++size)
                CHECK(afterPayload(valid.substr(0, size)).revision == 0);
            CHECK(afterPayload(valid + "x").revision == 0);
            CHECK(afterPayload("\2" + valid.substr(1)).revision == 0);
            CHECK(afterPayload(encodeEvacuations({ 0, { "bern" } })).revision == 0);
            CHECK(afterPayload(encodeEvacuations({ 7, { "bern", "basel" } })).revision == 0);
            CHECK(afterPayload(encodeEvacuations({ 7, { "bern", "bern" } })).revision == 0);
            CHECK(afterPayload(encodeEvacuations({ 7, { "" } })).revision == 0);
        }
        SUBCASE("beyond the bounds")
        {
            upstream::ZoneEvacuations set { 7, {} };
            for (std::size_t n = 0; n < maxEvacuatedZones; ++n)
                set.zones.push_back(std::string(maxZoneNameBytes - 1, 'a') + static_cast<char>(' ' + n));
            CHECK(afterPayload(encodeEvacuations(set)) == set);
            set.zones.emplace_back("b");
            CHECK(afterPayload(encodeEvacuations(set)).revision == 0);
            CHECK(afterPayload(encodeEvacuations({ 7, { std::string(maxZoneNameBytes + 1, 'a') } })).revision == 0);
        }
        SUBCASE("in a snapshot")
        {
            RegisterState state;
            state.apply(RegisterState::encode(3, "text"));
            state.apply(RegisterState::encode(twoZones));
            const auto snapshot = state.takeSnapshot();
            const auto textBytes = std::string("text").size();
            for (std::size_t size = 1; size < snapshot.size() - textBytes; ++size) {
                // A snapshot of the evacuated zones alone is valid.
                const bool isWhole = size == snapshot.size() - textBytes - sizeof(std::uint64_t);
                CHECK(isRestored(state, snapshot.substr(0, size)) == isWhole);
            }
        }
    }
}
