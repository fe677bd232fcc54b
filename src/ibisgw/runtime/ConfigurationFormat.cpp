#include "ibisgw/runtime/ConfigurationFormat.h"

namespace ibisgw::runtime {

ConfigurationFormat::~ConfigurationFormat() = default;

} // namespace ibisgw::runtime
