#pragma once

#include "ibisgw/configuration/LogEntry.h"

namespace ibisgw::configuration {

// State of the state machine after the entry `index` was applied. Replaces the entries of the log up to that index
// (Ongaro and Ousterhout 2014, section 7).
struct Snapshot {
    LogIndex index { 0 };
    Term term { 0 };
    Membership membership;
    std::string state;

    bool operator==(const Snapshot&) const = default;
};

} // namespace ibisgw::configuration
