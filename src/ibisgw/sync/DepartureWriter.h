#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/sync/DepartureStore.h"

#include <map>

namespace ibisgw::sync {

// Buffers departures of upstreams until the controller's DepartureStore has made them durable. All departures that
// arrive in one iteration of the event loop are written in one batch. A batch that the store rejects is retried,
// because space may become available on a full disk.
class DepartureWriter {
public:
    explicit DepartureWriter(DepartureStore&);

    // Adds a departure to the next batch; replaces an earlier report of the same upstream.
    void add(const upstream::InstanceReport&);
    // Writes the pending departures. True when none is pending any more; false when the write failed, or when an
    // earlier write failed and the retry is not due yet.
    bool flush(core::TimePoint now);
    // To be called after the whole directory, which contains all departures, was saved: nothing is pending then.
    void noteDirectorySaved();

    // True when no departure of this upstream is waiting for the store.
    bool isDurable(upstream::InstanceId id) const { return !m_pending.contains(id); }
    // True when the last write failed.
    bool isFailing() const { return m_isFailing; }

private:
    DepartureStore& m_store;
    std::map<upstream::InstanceId, upstream::InstanceReport> m_pending;
    bool m_isFailing { false };
    core::TimePoint m_nextRetry {};
};

} // namespace ibisgw::sync
