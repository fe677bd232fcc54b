#include "ibisgw/membership/MembershipEvents.h"

namespace ibisgw::membership {

MembershipEvents::~MembershipEvents() = default;

} // namespace ibisgw::membership
