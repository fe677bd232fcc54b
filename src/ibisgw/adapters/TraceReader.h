#pragma once

#include "ibisgw/adapters/Span.h"

#include <string>
#include <vector>

namespace ibisgw::adapters {

// Joins the spans of one trace from the files of several daemons, ordered by start. Missing files and
// damaged lines are skipped: a daemon may have ended while it wrote a line.
std::vector<Span> readTrace(const std::vector<std::string>& files, const std::string& traceId);

} // namespace ibisgw::adapters
