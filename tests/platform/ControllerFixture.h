#pragma once

#include "adapters/HttpProbe.h"
#include "ibisgw/runtime/DirectController.h"
#include "platform/ConfigurationMessage.h"
#include "platform/ControlServer.h"
#include "support/TemporaryFolder.h"

#include <doctest/doctest.h>

#include <unistd.h>

namespace platform_tests {

using namespace ibisgw;

constexpr std::uint32_t loopback = 0x7f000001;

// An address of this process alone, so that tests that run at the same time may use the same port.
inline core::Endpoint ownEndpoint(std::uint16_t port, std::uint32_t host = 1)
{
    constexpr std::uint32_t loopbackNetwork = 0x7f000000;
    const auto number = static_cast<std::uint32_t>(::getpid()) & 0xffff;
    return { loopbackNetwork | (number << 8) | host, port };
}

enum class Group : std::uint8_t {
    None, // the controller has not found its group
    Alone, // the controller is the only member
};

// The control API of one controller.
struct Controller {
    support::TemporaryFolder folder;
    adapters::EventLoop loop;
    platform::ConfigurationMessage format;
    settings::DirectSettings settings;
    std::unique_ptr<runtime::DirectController> controller;
    std::unique_ptr<platform::ControlServer> server;

    explicit Controller(Group group = Group::None, std::vector<core::ZoneName> zones = {})
    {
        constexpr std::uint16_t peerPort = 17720;
        settings.peer = group == Group::Alone ? ownEndpoint(peerPort) : core::Endpoint { loopback, 0 };
        settings.seeds = { group == Group::Alone ? settings.peer : core::Endpoint { loopback, 1 } };
        settings.firstStart = group == Group::Alone;
        settings.toleratedDiskLosses = 0;
        settings.dataFolder = folder.path();
        settings.zones = std::move(zones);
        controller = runtime::DirectController::create(settings, loop, format, 1).value();
        REQUIRE(controller->start());
        server = platform::ControlServer::start(loop, { loopback, 0 }, *controller, format).value();
    }

    void runFor(std::chrono::milliseconds duration)
    {
        const auto end = loop.now() + duration;
        support::runUntil(loop, [&] { return loop.now() >= end; });
    }

    support::HttpAnswer post(const std::string& path, const std::string& body)
    {
        return support::request(loop, server->localEndpoint(), "POST", path, body);
    }
};

} // namespace platform_tests
