#include "ibisgw/flow/FlowTokenCodec.h"

#include <cstring>

namespace ibisgw::flow {

namespace {

constexpr unsigned char innerPad = 0x36;
constexpr unsigned char outerPad = 0x5c;

SHA256_CTX hashPaddedKey(const TokenKey& key, unsigned char pad)
{
    std::array<unsigned char, SHA256_CBLOCK> block {};
    std::memcpy(block.data(), key.data(), key.size());
    for (auto& it : block)
        it ^= pad;
    SHA256_CTX state;
    SHA256_Init(&state);
    SHA256_Update(&state, block.data(), block.size());
    return state;
}

} // namespace

FlowTokenCodec::Key::Key(const TokenKey& key)
    : inner(hashPaddedKey(key, innerPad))
    , outer(hashPaddedKey(key, outerPad))
{
}

std::uint32_t FlowTokenCodec::Key::tag(const core::FlowKey& flow, core::UpstreamId upstream) const
{
    const std::uint64_t words[3] {
        (std::uint64_t { flow.caller.address } << 16) | flow.caller.port,
        (std::uint64_t { flow.service.address } << 16) | flow.service.port,
        upstream.value,
    };
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    auto state = inner;
    SHA256_Update(&state, words, sizeof words);
    SHA256_Final(digest.data(), &state);
    state = outer;
    SHA256_Update(&state, digest.data(), digest.size());
    SHA256_Final(digest.data(), &state);
    std::uint32_t tag = 0;
    std::memcpy(&tag, digest.data(), sizeof tag);
    return tag;
}

FlowTokenCodec::FlowTokenCodec(const TokenKey& current, std::optional<TokenKey> previous)
    : m_current(current)
{
    if (previous)
        m_previous.emplace(*previous);
}

packet::FlowToken FlowTokenCodec::issue(const core::FlowKey& flow, core::UpstreamId upstream) const
{
    return { upstream, m_current.tag(flow, upstream) };
}

bool FlowTokenCodec::verify(const core::FlowKey& flow, const packet::FlowToken& token) const
{
    if (!token.isPresent())
        return false;
    if (token.tag == m_current.tag(flow, token.upstream))
        return true;
    return m_previous && token.tag == m_previous->tag(flow, token.upstream);
}

} // namespace ibisgw::flow
