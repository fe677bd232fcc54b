#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/settings/DirectSettings.h"
#include "ibisgw/sync/DirectorySubscriber.h"

namespace ibisgw::runtime {

// Options for the subscription of a daemon with these settings to the controllers.
sync::SubscriberOptions subscriberOptions(const settings::DirectSettings&, core::NodeId self, core::RandomSource&);

} // namespace ibisgw::runtime
