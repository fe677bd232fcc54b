#include "ibisgw/configuration/RaftOutput.h"

namespace ibisgw::configuration {

RaftOutput::~RaftOutput() = default;

} // namespace ibisgw::configuration
