#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>

namespace ibisgw::request {

// Key of a request that was forwarded to an upstream and whose answer this balancer has not received.
struct InFlightRequest {
    core::FlowKey flow;
    core::RequestId request { 0 };

    bool operator==(const InFlightRequest&) const = default;
};

// Requests that this balancer has forwarded and that are in flight. An entry is removed when the answer is received or
// the deadline passes, because another balancer may forward the answer.
class InFlightTable {
public:
    struct Entry {
        core::UpstreamId upstream;
        core::KindId kind { 0 };
        core::TimePoint expiresAt;
    };
    using Visitor = std::function<void(const InFlightRequest&, const Entry&)>;

    // Allocates memory for the capacity in advance, so that no forwarded packet allocates.
    explicit InFlightTable(std::size_t capacity);

    // Does nothing when the table is full. The balancer then doesn't refuse the request if its upstream goes away.
    void insert(const InFlightRequest&, const Entry&);
    void erase(const InFlightRequest&);
    void removeExpired(core::TimePoint now);
    // Removes the requests at an upstream and passes each to the visitor.
    void takeByUpstream(core::UpstreamId, const Visitor&);
    std::size_t size() const { return m_entries.size(); }

private:
    struct Hash {
        std::size_t operator()(const InFlightRequest& it) const
        {
            return it.flow.hash() ^ (it.request * 0x9e3779b97f4a7c15);
        }
    };

    std::size_t m_capacity;
    boost::unordered_flat_map<InFlightRequest, Entry, Hash> m_entries;
};

} // namespace ibisgw::request
