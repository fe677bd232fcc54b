#include "ibisgw/membership/MessageSink.h"

namespace ibisgw::membership {

MessageSink::~MessageSink() = default;

} // namespace ibisgw::membership
