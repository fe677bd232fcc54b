#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <map>
#include <vector>

namespace ibisgw::membership {

// Items that are passed on a limited number of times, those sent least first (SWIM, section 4.1).
template <typename Key, typename Item> class RumorQueue {
public:
    // Replaces an older item with the key.
    void add(const Key& key, const Item& item) { m_rumors[key] = { item, 0 }; }
    void remove(const Key& key) { m_rumors.erase(key); }
    bool isEmpty() const { return m_rumors.empty(); }
    std::size_t size() const { return m_rumors.size(); }

    // Takes up to maxCount items, each of which is then about to be sent to `copies` peers.
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

// Times that each daemon passes a rumor on. Of n daemons that each send it k times to random peers, a share of
// about exp(-k) does not get it; k = log2(n) + 1 leaves under 0.1 % at 88 daemons.
inline std::size_t rumorSendLimit(std::size_t peers)
{
    return std::bit_width(peers + 1) + 1;
}

} // namespace ibisgw::membership
