#include "ibisgw/flow/FlowTokenCodec.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cstring>

namespace ibisgw::flow {

namespace {

std::uint32_t computeTag(const TokenKey& key, const core::FlowKey& flow, core::UpstreamId upstream)
{
    const std::uint64_t words[3] {
        (std::uint64_t { flow.caller.address } << 16) | flow.caller.port,
        (std::uint64_t { flow.service.address } << 16) | flow.service.port,
        upstream.value,
    };
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int digestSize = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(words),
        sizeof words, digest.data(), &digestSize);
    std::uint32_t tag = 0;
    std::memcpy(&tag, digest.data(), sizeof tag);
    return tag;
}

} // namespace

FlowTokenCodec::FlowTokenCodec(const TokenKey& current, std::optional<TokenKey> previous)
    : m_current(current)
    , m_previous(previous)
{
}

packet::FlowToken FlowTokenCodec::issue(const core::FlowKey& flow, core::UpstreamId upstream) const
{
    return { upstream, computeTag(m_current, flow, upstream) };
}

bool FlowTokenCodec::verify(const core::FlowKey& flow, const packet::FlowToken& token) const
{
    if (!token.isPresent())
        return false;
    if (token.tag == computeTag(m_current, flow, token.upstream))
        return true;
    return m_previous && token.tag == computeTag(*m_previous, flow, token.upstream);
}

} // namespace ibisgw::flow
