#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/sync/DirectorySubscriber.h"

#include <optional>

namespace ibisgw::runtime {

// Decides whether a balancer may place new flows by the configuration and the set of evacuated zones that it holds.
// After a start or an isolation they may be outdated: the controllers that were reached first may have missed changes.
// An isolated balancer goes on with what it holds, since nobody can tell it more. One that reaches a majority of the
// controllers must have both confirmed, within a time in which the controllers elect a leader.
class ConfigurationMonitor {
public:
    // Longer than an election after a start of all controllers, shorter than the shortest time after which a balancer
    // counts as connected.
    static constexpr core::Duration confirmationTimeout = std::chrono::milliseconds(2500);

    // Must be called periodically.
    void update(sync::ConfigurationCheck, core::TimePoint now);
    bool mayPlaceFlows() const { return m_mayPlaceFlows; }

private:
    bool m_isConfirmed { false };
    std::optional<core::TimePoint> m_unconfirmedSince;
    bool m_mayPlaceFlows { true };
};

} // namespace ibisgw::runtime
