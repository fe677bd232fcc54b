#include "FaultMeasures.h"
#include "Measures.h"

namespace bench {

void addRequestMeasures(MeasureList& measures)
{
    addFaultMeasures(measures);
}

} // namespace bench
