#pragma once

#include "ibisgw/configuration/Membership.h"

#include <cstdint>
#include <string>

namespace ibisgw::configuration {

using Term = std::uint64_t;
// Position in the log; the first entry has index 1.
using LogIndex = std::uint64_t;

enum class EntryKind : std::uint8_t {
    NoOperation, // lets a new leader commit the entries of earlier terms (Raft dissertation, 6.4)
    Command, // input of the state machine
    Membership, // new membership of the group
};

// One entry of the replicated log. `command` and `membership` are set only for the kind of that name.
struct LogEntry {
    Term term { 0 };
    EntryKind kind { EntryKind::NoOperation };
    std::string command;
    Membership membership;

    bool operator==(const LogEntry&) const = default;
};

} // namespace ibisgw::configuration
