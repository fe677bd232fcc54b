#include "ibisgw/adapters/SyncCodec.h"
#include "ibisgw/configuration/DocumentCompression.h"
#include "ibisgw/core/FlowKey.h"
#include "ibisgw/runtime/DirectBalancer.h"
#include "ibisgw/runtime/LogFields.h"

#include <limits>

// Messages between a balancer and the controllers. Packets and timers are handled in DirectBalancer.cpp.
namespace ibisgw::runtime {

void DirectBalancer::receiveMessage(core::NodeId sender, std::string_view body)
{
    const auto now = m_loop.now();
    const auto message = adapters::decodeSyncMessage(body);
    if (!message)
        return;
    if (const auto* update = std::get_if<sync::DirectoryUpdate>(&*message)) {
        m_subscriber.handle(sender, *update, now, *this);
        applyEvacuations(now);
        m_hasReceivedDirectory = m_hasReceivedDirectory || m_subscriber.hasCompleteDirectory();
        if (update->version > m_announcedVersion) {
            m_announcedVersion = update->version;
            m_announcedAt = now;
        }
        m_subscriber.fetchConfiguration(m_forwarder.version(), now, *this);
        if (!update->items.empty())
            retryPendingPackets(now);
    } else if (const auto* transfer = std::get_if<sync::ConfigurationTransfer>(&*message)) {
        applyConfiguration(*transfer, now);
    } else if (const auto* marks = std::get_if<sync::FailureMarks>(&*message)) {
        handle(*marks, now);
    } else if (const auto* offer = std::get_if<sync::ColdStartOffer>(&*message)) {
        handle(sender, *offer, now);
    } else if (const auto* grant = std::get_if<sync::ColdStartGrant>(&*message)) {
        m_forwarder.coldStarts().grant(grant->report, grant->claim, grant->permits, now);
    }
}

void DirectBalancer::handle(core::NodeId sender, const sync::ColdStartOffer& offer, core::TimePoint now)
{
    const auto number = m_random.next();
    if (m_forwarder.coldStarts().claim(offer.report, number, now))
        send(sender, sync::ColdStartClaim { offer.report, number });
}

void DirectBalancer::handle(const sync::FailureMarks& marks, core::TimePoint now)
{
    for (const auto& it : marks.marks) {
        const auto* record = m_directory.find(it.id);
        if (!record || record->report.incarnation != it.incarnation)
            continue;
        const auto hash = core::rendezvousWeight(m_peers.self().value, it.id.value);
        const double position
            = static_cast<double>(hash) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        m_forwarder.unansweredRequests().noteShared(it.id, position, now);
    }
}

void DirectBalancer::applyConfiguration(const sync::ConfigurationTransfer& transfer, core::TimePoint now)
{
    if (transfer.version <= m_forwarder.version())
        return;
    const auto text = configuration::decompressDocument(transfer.compressedText);
    auto reading = text ? m_configurationFormat.read(*text) : ConfigurationReadResult {};
    if (!reading.configuration) {
        m_events.record(Event::Failed, now, [&] {
            return nlohmann::json { { "version", transfer.version },
                { "reason", "an accepted configuration cannot be read; upgrade this daemon" } };
        });
        return;
    }
    if (m_announcedVersion > m_forwarder.version())
        m_configurationDelay.record(now - m_announcedAt);
    m_forwarder.apply(std::make_shared<const direct::RouteConfiguration>(std::move(*reading.configuration)), now);
    m_events.record(Event::ConfigurationInForce, now, [&] {
        return nlohmann::json { { "version", transfer.version } };
    });
    retryPendingPackets(now);
}

void DirectBalancer::applyEvacuations(core::TimePoint now)
{
    const auto& evacuations = m_subscriber.evacuations();
    if (evacuations.revision == m_forwarder.evacuations().revision || !m_forwarder.setEvacuations(evacuations))
        return;
    m_events.record(Event::EvacuationsInForce, now, [&] { return fieldsOf(evacuations); });
}

void DirectBalancer::send(core::NodeId peer, const sync::SyncMessage& message)
{
    m_peers.send(peer, adapters::PeerChannel::Sync, adapters::encodeSyncMessage(message));
}

} // namespace ibisgw::runtime
