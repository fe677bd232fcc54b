#include "support/GroupMember.h"

namespace support {

GroupMember::~GroupMember() = default;

} // namespace support
