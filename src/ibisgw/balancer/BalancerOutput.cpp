#include "ibisgw/balancer/BalancerOutput.h"

namespace ibisgw::balancer {

BalancerOutput::~BalancerOutput() = default;

} // namespace ibisgw::balancer
