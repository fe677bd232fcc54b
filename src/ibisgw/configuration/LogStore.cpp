#include "ibisgw/configuration/LogStore.h"

namespace ibisgw::configuration {

LogStore::~LogStore() = default;

} // namespace ibisgw::configuration
