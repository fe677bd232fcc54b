#include "ibisgw/upstream/UpstreamSelector.h"

namespace ibisgw::upstream {

UpstreamSelector::~UpstreamSelector() = default;

} // namespace ibisgw::upstream
