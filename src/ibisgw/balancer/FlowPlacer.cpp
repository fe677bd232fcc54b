#include "ibisgw/balancer/FlowPlacer.h"

namespace ibisgw::balancer {

FlowPlacer::~FlowPlacer() = default;

} // namespace ibisgw::balancer
