#include "ibisgw/configuration/StateMachine.h"

namespace ibisgw::configuration {

StateMachine::~StateMachine() = default;

} // namespace ibisgw::configuration
