#include "Measures.h"

namespace bench {

void addMembershipMeasures(MeasureList&) { }

} // namespace bench
