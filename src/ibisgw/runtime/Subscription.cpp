#include "ibisgw/runtime/Subscription.h"

namespace ibisgw::runtime {

sync::SubscriberOptions subscriberOptions(
    const settings::DirectSettings& settings, core::NodeId self, core::RandomSource& random)
{
    sync::SubscriberOptions options;
    options.self = self;
    options.process = random.next();
    options.seeds = settings.seedNodes();
    options.zone = settings.zone;
    return options;
}

} // namespace ibisgw::runtime
