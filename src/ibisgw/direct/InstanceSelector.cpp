#include "ibisgw/direct/InstanceSelector.h"

namespace ibisgw::direct {

InstanceSelector::~InstanceSelector() = default;

} // namespace ibisgw::direct
