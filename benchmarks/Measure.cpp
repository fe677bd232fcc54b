#include "Measure.h"

namespace bench {

bool MeasureResult::isOk() const
{
    switch (comparison) {
    case Comparison::AtMost:
        return value <= bound;
    case Comparison::Below:
        return value < bound;
    case Comparison::AtLeast:
        return value >= bound;
    }
    return false;
}

} // namespace bench
