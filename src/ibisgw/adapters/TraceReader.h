#pragma once

#include "ibisgw/adapters/Span.h"

#include <string>
#include <vector>

namespace ibisgw::adapters {

// Collects the spans of one trace from the trace files of several daemons, without duplicates and ordered by start
// time. Missing files and damaged lines are skipped, because a daemon may have ended while it was writing a line.
std::vector<Span> readTrace(const std::vector<std::string>& files, const std::string& traceId);

} // namespace ibisgw::adapters
