#include "ibisgw/membership/GossipMessage.h"

#include "ibisgw/membership/detail/MessageFields.h"

namespace ibisgw::membership {

namespace {

// Writer for MessageFields that counts the bytes of the CBOR encoding (RFC 8949, section 3) instead of writing them.
class SizeCounter {
public:
    void arrayOf(std::size_t count) { number(count); }
    void number(std::uint64_t value)
    {
        if (value < 24)
            m_size += 1;
        else if (value <= UINT8_MAX)
            m_size += 2;
        else if (value <= UINT16_MAX)
            m_size += 3;
        else
            m_size += value <= UINT32_MAX ? 5 : 9;
    }
    void bytes(std::span<const std::byte> data)
    {
        number(data.size());
        m_size += data.size();
    }
    void text(std::string_view text) { bytes(std::as_bytes(std::span(text))); }

    std::size_t size() const { return m_size; }

private:
    std::size_t m_size { 0 };
};

} // namespace

std::size_t encodedSize(const GossipMessage& message)
{
    SizeCounter counter;
    detail::MessageFields<SizeCounter>(counter).write(message);
    return counter.size();
}

void trimToDatagram(GossipMessage& message)
{
    while (encodedSize(message) > maxBodyBytes) {
        if (!message.zones.empty())
            message.zones.pop_back();
        else if (!message.members.empty())
            message.members.pop_back();
        else if (!message.announcements.empty())
            message.announcements.pop_back();
        else
            break;
    }
}

} // namespace ibisgw::membership
