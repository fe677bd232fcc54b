#include "Measures.h"

namespace bench {

void addRequestMeasures(MeasureList&) { }

} // namespace bench
