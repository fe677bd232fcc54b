#include "ibisgw/adapters/MessageAuthenticator.h"

#include "ibisgw/adapters/detail/CborReader.h"
#include "ibisgw/adapters/detail/CborWriter.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace ibisgw::adapters {

namespace {

constexpr std::uint64_t protocolVersion = 1;
constexpr std::size_t envelopeFields = 7;
constexpr std::size_t tagBytes = 16;
// Upper limit of the encoded envelope before the body: six CBOR integers of 9 bytes, and the heads of the array and of
// the body.
constexpr std::size_t maxEnvelopeBytes = 72;
// Size of the anti-replay window: a message whose sequence number lies this far behind the highest one of its sender is
// rejected.
constexpr std::uint64_t replayWindowSize = 64;

using Tag = std::array<unsigned char, EVP_MAX_MD_SIZE>;

Tag computeTag(const SharedKey& key, std::span<const std::byte> data)
{
    Tag tag {};
    unsigned int n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(data.data()),
        data.size(), tag.data(), &n);
    return tag;
}

} // namespace

MessageAuthenticator::MessageAuthenticator(
    core::NodeId self, KeyRing keys, std::uint64_t epoch, std::size_t maxMessageBytes)
    : m_self(self)
    , m_keys(std::move(keys))
    , m_epoch(epoch)
    , m_maxMessageBytes(maxMessageBytes)
{
}

void MessageAuthenticator::setKeys(KeyRing keys)
{
    m_keys = std::move(keys);
}

bool MessageAuthenticator::seal(Channel channel, std::span<const std::byte> body, std::vector<std::byte>& datagram)
{
    const auto key = m_keys.keys.find(m_keys.signingKey);
    if (key == m_keys.keys.end() || body.size() + maxEnvelopeBytes + tagBytes > m_maxMessageBytes)
        return false;
    detail::CborWriter writer(datagram, body.size() + maxEnvelopeBytes);
    writer.arrayOf(envelopeFields);
    writer.number(protocolVersion);
    writer.number(m_self.value);
    writer.number(m_keys.signingKey);
    writer.number(m_epoch);
    writer.number(m_nextSequence++);
    writer.number(static_cast<std::uint64_t>(channel));
    writer.bytes(body);
    if (!writer.finish())
        return false;
    const auto tag = computeTag(key->second, datagram);
    const auto* first = reinterpret_cast<const std::byte*>(tag.data());
    datagram.insert(datagram.end(), first, first + tagBytes);
    return true;
}

std::optional<AuthenticatedMessage> MessageAuthenticator::open(std::span<const std::byte> datagram)
{
    if (datagram.size() <= tagBytes || datagram.size() > m_maxMessageBytes) {
        ++m_counters.malformed;
        return std::nullopt;
    }
    const auto signedPart = datagram.first(datagram.size() - tagBytes);
    const auto receivedTag = datagram.last(tagBytes);
    detail::CborReader reader(signedPart);
    const auto fields = reader.arrayStart();
    const auto version = reader.number();
    const core::NodeId sender { reader.number() };
    const auto keyNumber = static_cast<std::uint8_t>(reader.number(UINT8_MAX));
    const auto epoch = reader.number();
    const auto sequence = reader.number();
    const auto channel = reader.number(static_cast<std::uint64_t>(Channel::Stream));
    const auto body = reader.bytes();
    if (!reader.finished() || fields != envelopeFields || version != protocolVersion) {
        ++m_counters.malformed;
        return std::nullopt;
    }
    const auto key = m_keys.keys.find(keyNumber);
    if (key == m_keys.keys.end()) {
        ++m_counters.unknownKey;
        return std::nullopt;
    }
    const auto expectedTag = computeTag(key->second, signedPart);
    if (CRYPTO_memcmp(expectedTag.data(), receivedTag.data(), tagBytes) != 0) {
        ++m_counters.altered;
        return std::nullopt;
    }
    if (!acceptSequence(sender, epoch, sequence)) {
        ++m_counters.replayed;
        return std::nullopt;
    }
    ++m_counters.accepted;
    return AuthenticatedMessage { sender, static_cast<Channel>(channel), body };
}

bool MessageAuthenticator::acceptSequence(core::NodeId sender, std::uint64_t epoch, std::uint64_t sequence)
{
    auto& window = m_windows[sender];
    if (epoch < window.epoch)
        return false;
    if (epoch > window.epoch)
        window = { epoch, 0, 0 };
    if (sequence > window.highestSequence) {
        const auto shift = sequence - window.highestSequence;
        window.receivedBits = shift >= replayWindowSize ? 0 : window.receivedBits << shift;
        window.receivedBits |= 1;
        window.highestSequence = sequence;
        return true;
    }
    const auto age = window.highestSequence - sequence;
    if (age >= replayWindowSize || (window.receivedBits >> age & 1))
        return false;
    window.receivedBits |= std::uint64_t { 1 } << age;
    return true;
}

} // namespace ibisgw::adapters
