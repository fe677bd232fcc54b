#include "ibisgw/flow/HomeRing.h"

namespace ibisgw::flow {

void HomeRing::setBalancers(std::vector<core::NodeId> balancers)
{
    m_balancers = std::move(balancers);
}

core::NodeId HomeRing::homeOf(const core::FlowKey& flow) const
{
    const auto flowHash = flow.hash();
    core::NodeId home;
    std::uint64_t bestWeight = 0;
    for (const auto& it : m_balancers) {
        const auto weight = core::rendezvousWeight(flowHash, it.value);
        if (!home.isValid() || weight > bestWeight) {
            home = it;
            bestWeight = weight;
        }
    }
    return home;
}

} // namespace ibisgw::flow
