#include "support/ReplayReport.h"

#include <algorithm>

namespace support {

double ReplayCounts::shareInObjective() const
{
    return total() == 0 ? 1 : static_cast<double>(inObjective) / static_cast<double>(total());
}

ReplayCounts& ReplayCounts::operator+=(const ReplayCounts& other)
{
    inObjective += other.inObjective;
    late += other.late;
    notServed += other.notServed;
    return *this;
}

double ReplayReport::worstWindow() const
{
    double worst = 1;
    for (const auto& it : windows)
        worst = std::min(worst, it.shareInObjective());
    return worst;
}

} // namespace support
