#include "ibisgw/adapters/UpstreamDirectoryFile.h"

#include "ibisgw/adapters/SyncCodec.h"
#include "ibisgw/adapters/detail/DurableFile.h"
#include "ibisgw/adapters/detail/LogRecord.h"

#include <fstream>
#include <iterator>

namespace ibisgw::adapters {

namespace {

constexpr auto fileName = "instances";

} // namespace

SavedUpstreamDirectory loadUpstreamDirectory(const std::string& folder)
{
    std::ifstream in(folder + "/" + fileName, std::ios::binary);
    const std::string bytes { std::istreambuf_iterator<char>(in), {} };
    SavedUpstreamDirectory unreadable { {}, {}, in.is_open() };
    detail::LogRecordReader reader(bytes);
    detail::LogRecord record;
    if (reader.next(record) != detail::RecordStatus::Valid || record.type != detail::RecordType::Snapshot)
        return unreadable;
    auto message = decodeSyncMessage(record.payload);
    auto* update = message ? std::get_if<sync::DirectoryUpdate>(&*message) : nullptr;
    return update ? SavedUpstreamDirectory { std::move(update->items), std::move(update->controllers) } : unreadable;
}

core::Result<void> saveUpstreamDirectory(const std::string& folder, SavedUpstreamDirectory directory)
{
    sync::DirectoryUpdate update;
    update.items = std::move(directory.instances);
    // The file has the format of a DirectoryUpdate, whose field `controllers` holds the balancers here.
    update.controllers = std::move(directory.balancers);
    const auto bytes = detail::encodeRecord(detail::RecordType::Snapshot, encodeSyncMessage(std::move(update)));
    return detail::replaceFile(folder, fileName, bytes);
}

} // namespace ibisgw::adapters
