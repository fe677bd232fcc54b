#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>

namespace ibisgw::request {

// A request that was forwarded to an upstream and is not known to be answered.
struct InFlightRequest {
    core::FlowKey flow;
    core::RequestId request { 0 };

    bool operator==(const InFlightRequest&) const = default;
};

// Requests that this balancer forwarded. Answers may pass other balancers, so an entry ends with the answer
// or with the deadline, whichever this balancer sees first.
class InFlightTable {
public:
    struct Entry {
        core::UpstreamId upstream;
        core::KindId kind { 0 };
        core::TimePoint expiresAt;
    };
    using Visitor = std::function<void(const InFlightRequest&, const Entry&)>;

    // Memory for the capacity is taken at once, so that a forwarded packet allocates nothing.
    explicit InFlightTable(std::size_t capacity);

    // Ignored when the table is full; the request is then answered only by its upstream.
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
