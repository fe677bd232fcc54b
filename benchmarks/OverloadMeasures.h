#pragma once

#include "Measure.h"

namespace bench {

// Goodput during overload, recovery after it, and retries while upstreams refuse requests.
void addOverloadMeasures(MeasureList&);

} // namespace bench
