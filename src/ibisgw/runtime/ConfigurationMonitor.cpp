#include "ibisgw/runtime/ConfigurationMonitor.h"

namespace ibisgw::runtime {

void ConfigurationMonitor::update(sync::ConfigurationCheck check, core::TimePoint now)
{
    // Once confirmed, a configuration and the evacuated zones stay so while the controllers are in contact, as they
    // announce each newer one.
    m_isConfirmed = check == sync::ConfigurationCheck::Confirmed
        || (m_isConfirmed && check == sync::ConfigurationCheck::Unconfirmed);
    if (m_isConfirmed || check == sync::ConfigurationCheck::Isolated)
        m_unconfirmedSince.reset();
    else
        m_unconfirmedSince = m_unconfirmedSince.value_or(now);
    m_mayPlaceFlows = !m_unconfirmedSince || now - *m_unconfirmedSince <= confirmationTimeout;
}

} // namespace ibisgw::runtime
