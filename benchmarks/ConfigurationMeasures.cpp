#include "Measures.h"

namespace bench {

void addConfigurationMeasures(MeasureList&) { }

} // namespace bench
