#pragma once

#include "ibisgw/configuration/LogEntry.h"
#include "ibisgw/core/Error.h"

namespace ibisgw::configuration {

// Replicated state machine. Must be deterministic: equal sequences of commands must produce equal states.
class StateMachine {
public:
    virtual ~StateMachine();

    virtual void apply(const std::string& command) = 0;
    virtual std::string takeSnapshot() const = 0;
    // An empty text restores the initial state.
    virtual core::Result<void> restore(const std::string& state) = 0;
};

} // namespace ibisgw::configuration
