#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <map>
#include <vector>

namespace ibisgw::membership {

// Items that are spread by gossip: each is sent a limited number of times, and the items sent least often come first
// (SWIM, section 4.1).
template <typename Key, typename Item> class RumorQueue {
public:
    // Adds an item, or replaces the one with the same key; its number of sends starts at zero.
    void add(const Key& key, const Item& item) { m_rumors[key] = { item, 0 }; }
    void remove(const Key& key) { m_rumors.erase(key); }
    bool isEmpty() const { return m_rumors.empty(); }
    std::size_t size() const { return m_rumors.size(); }

    // Up to maxCount items, each of which the caller sends to `copies` peers. Items that have then been sent
    // `sendLimit` times are removed from the queue.
    std::vector<Item> take(std::size_t maxCount, std::size_t copies, std::size_t sendLimit)
    {
        std::vector<std::pair<std::size_t, Key>> order;
        for (const auto& [key, rumor] : m_rumors)
            order.emplace_back(rumor.sends, key);
        const auto count = std::min(maxCount, order.size());
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
        std::vector<Item> items;
        for (std::size_t n = 0; n < count; ++n) {
            auto& rumor = m_rumors[order[n].second];
            items.push_back(rumor.item);
            rumor.sends += copies;
            if (rumor.sends >= sendLimit)
                m_rumors.erase(order[n].second);
        }
        return items;
    }

private:
    struct Rumor {
        Item item;
        std::size_t sends { 0 };
    };

    std::map<Key, Rumor> m_rumors;
};

// Number of times that each daemon sends a rumor. When n daemons each send it to k random peers, a share of about
// exp(-k) does not receive it; k = log2(n) + 1 leaves under 0.1 % at 88 daemons.
inline std::size_t rumorSendLimit(std::size_t peers)
{
    return std::bit_width(peers + 1) + 1;
}

} // namespace ibisgw::membership
