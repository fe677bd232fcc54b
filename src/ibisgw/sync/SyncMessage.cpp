#include "ibisgw/sync/SyncMessage.h"

namespace ibisgw::sync {

SyncOutput::~SyncOutput() = default;

} // namespace ibisgw::sync
