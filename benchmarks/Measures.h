#pragma once

#include "Measure.h"

namespace bench {

// Each function appends the measures of its area to the list.
void addPlacementMeasures(MeasureList&);
void addFlowStateMeasures(MeasureList&);
void addRequestMeasures(MeasureList&);
void addConfigurationMeasures(MeasureList&);
void addMembershipMeasures(MeasureList&);

} // namespace bench
