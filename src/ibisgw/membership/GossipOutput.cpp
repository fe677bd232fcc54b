#include "ibisgw/membership/GossipOutput.h"

namespace ibisgw::membership {

GossipOutput::~GossipOutput() = default;

} // namespace ibisgw::membership
