#pragma once

#include "Measure.h"

namespace bench {

// The four measures that must be zero over 1,000 fault schedules; they share one run.
void addFaultMeasures(MeasureList&);

} // namespace bench
