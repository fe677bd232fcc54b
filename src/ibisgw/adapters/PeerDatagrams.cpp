#include "ibisgw/adapters/PeerDatagrams.h"

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/detail/CborReader.h"
#include "ibisgw/adapters/detail/CborWriter.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <numeric>

namespace ibisgw::adapters {

namespace {

constexpr std::uint64_t peerProtocolVersion = 1;

// A fragment fits into one Ethernet frame together with its own header and those of IP and UDP.
constexpr std::size_t maxFragmentBytes = 1300;
constexpr std::size_t maxHeaderBytes = 40;

// A message is discarded when its fragments have not all arrived within this time after the first one.
constexpr core::Duration reassemblyTimeout = std::chrono::seconds(1);
constexpr std::size_t maxPartialMessages = 64;

// Header of a datagram to or from a gateway: source and target, each as big-endian address and port.
constexpr std::size_t endpointBytes = 6;
constexpr std::size_t gatewayHeaderBytes = 2 * endpointBytes;

void writeEndpoint(std::span<std::byte> out, std::size_t offset, core::Endpoint endpoint)
{
    auto* target = reinterpret_cast<unsigned char*>(&out[offset]);
    boost::endian::store_big_u48(target, core::NodeId::fromEndpoint(endpoint).value);
}

core::Endpoint readEndpoint(std::span<const std::byte> bytes)
{
    return core::NodeId { boost::endian::load_big_u48(reinterpret_cast<const unsigned char*>(bytes.data())) }
        .endpoint();
}

} // namespace

PeerDatagrams::PeerDatagrams(EventLoop& loop, UdpSocket socket, std::uint32_t firstMessageNumber, Receiver receiver)
    : m_loop(loop)
    , m_socket(socket)
    , m_nextMessageNumber(firstMessageNumber)
    , m_receiver(std::move(receiver))
{
}

void PeerDatagrams::start()
{
    m_socket.receive(m_loop, [this](auto datagram, auto sender) {
        if (m_gateway.port == 0)
            receive(datagram, sender, m_loop.now());
        else if (sender == m_gateway)
            receiveFromGateway(datagram, m_loop.now());
    });
}

void PeerDatagrams::send(core::NodeId peer, PeerChannel channel, std::string_view body)
{
    if (body.size() > maxMessageBytes)
        return;
    const auto number = m_nextMessageNumber++;
    const auto count = std::max<std::size_t>(1, (body.size() + maxFragmentBytes - 1) / maxFragmentBytes);
    ++m_counters.messagesSent;
    for (std::size_t n = 0; n < count; ++n) {
        const auto fragment = body.substr(n * maxFragmentBytes, maxFragmentBytes);
        detail::CborWriter writer(m_buffer, maxHeaderBytes + maxFragmentBytes);
        writer.arrayOf(6);
        writer.number(peerProtocolVersion);
        writer.number(static_cast<std::uint64_t>(channel));
        writer.number(number);
        writer.number(n);
        writer.number(count);
        writer.bytes(std::as_bytes(std::span(fragment)));
        if (!writer.finish())
            return;
        m_counters.bytesSent += m_buffer.size();
        sendDatagram(peer.endpoint());
    }
}

void PeerDatagrams::sendDatagram(core::Endpoint target)
{
    if (m_gateway.port == 0) {
        m_socket.send(m_buffer, target);
        return;
    }
    std::vector<std::byte> wrapped(gatewayHeaderBytes);
    writeEndpoint(wrapped, 0, m_socket.localEndpoint());
    writeEndpoint(wrapped, endpointBytes, target);
    wrapped.insert(wrapped.end(), m_buffer.begin(), m_buffer.end());
    m_socket.send(wrapped, m_gateway);
}

void PeerDatagrams::receiveFromGateway(std::span<const std::byte> datagram, core::TimePoint now)
{
    if (datagram.size() < gatewayHeaderBytes)
        ++m_counters.malformed;
    else
        receive(datagram.subspan(gatewayHeaderBytes), readEndpoint(datagram), now);
}

void PeerDatagrams::receive(std::span<const std::byte> datagram, core::Endpoint sender, core::TimePoint now)
{
    constexpr std::size_t maxFragments = maxMessageBytes / maxFragmentBytes + 1;
    detail::CborReader reader(datagram);
    const bool isVersionSupported = reader.arrayStart() == 6 && reader.number() == peerProtocolVersion;
    const auto channel = static_cast<PeerChannel>(reader.number(2));
    const auto number = static_cast<std::uint32_t>(reader.number(0xffff'ffff));
    const auto index = reader.number(maxFragments);
    const auto count = reader.number(maxFragments);
    const auto data = reader.bytes();
    if (!isVersionSupported || !reader.finished() || index >= count || static_cast<int>(channel) == 0) {
        ++m_counters.malformed;
        return;
    }
    const std::string_view fragment(reinterpret_cast<const char*>(data.data()), data.size());
    const auto node = core::NodeId::fromEndpoint(sender);
    if (count == 1) {
        ++m_counters.messagesReceived;
        m_receiver(node, channel, fragment);
        return;
    }
    auto& partial = m_partialMessages[{ sender, number }];
    if (partial.fragments.size() != count)
        partial = { std::vector<std::string>(count), count, now };
    auto& slot = partial.fragments[index];
    if (!slot.empty())
        return;
    slot = fragment;
    if (--partial.missingCount > 0) {
        dropExpiredMessages(now);
        return;
    }
    const auto body = std::accumulate(partial.fragments.begin(), partial.fragments.end(), std::string());
    m_partialMessages.erase({ sender, number });
    ++m_counters.messagesReceived;
    m_receiver(node, channel, body);
}

void PeerDatagrams::dropExpiredMessages(core::TimePoint now)
{
    m_counters.incomplete += std::erase_if(
        m_partialMessages, [now](const auto& it) { return now - it.second.startedAt > reassemblyTimeout; });
    while (m_partialMessages.size() > maxPartialMessages) {
        const auto oldest
            = std::ranges::min_element(m_partialMessages, {}, [](const auto& it) { return it.second.startedAt; });
        m_partialMessages.erase(oldest);
        ++m_counters.incomplete;
    }
}

} // namespace ibisgw::adapters
