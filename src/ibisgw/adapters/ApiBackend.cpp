#include "ibisgw/adapters/ApiBackend.h"

namespace ibisgw::adapters {

ApiBackend::~ApiBackend() = default;

} // namespace ibisgw::adapters
