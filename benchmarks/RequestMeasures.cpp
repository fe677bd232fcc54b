#include "FaultMeasures.h"
#include "Measures.h"
#include "OverloadMeasures.h"

namespace bench {

void addRequestMeasures(MeasureList& measures)
{
    addFaultMeasures(measures);
    addOverloadMeasures(measures);
}

} // namespace bench
