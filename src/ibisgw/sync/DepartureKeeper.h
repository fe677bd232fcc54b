#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/sync/DepartureStore.h"

#include <map>

namespace ibisgw::sync {

// Departures on their way to the store of a controller. Those of one turn are written together, and those that the
// store refuses are tried again, since a full disk may get room.
class DepartureKeeper {
public:
    explicit DepartureKeeper(DepartureStore&);

    // Notes a departure that is not kept yet.
    void add(const upstream::InstanceReport&);
    // True when everything is kept.
    bool flush(core::TimePoint now);
    // The whole directory was saved, with all departures in it.
    void noteDirectorySaved();

    bool isKept(upstream::InstanceId id) const { return !m_waiting.contains(id); }
    bool isFailing() const { return m_isFailing; }

private:
    DepartureStore& m_store;
    std::map<upstream::InstanceId, upstream::InstanceReport> m_waiting;
    bool m_isFailing { false };
    core::TimePoint m_nextTry {};
};

} // namespace ibisgw::sync
