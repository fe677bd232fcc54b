#include "ibisgw/runtime/PacketFormat.h"

namespace ibisgw::runtime {

PacketFormat::~PacketFormat() = default;

} // namespace ibisgw::runtime
