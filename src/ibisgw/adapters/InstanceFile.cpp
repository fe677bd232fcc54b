#include "ibisgw/adapters/InstanceFile.h"

#include "ibisgw/adapters/SyncCodec.h"
#include "ibisgw/adapters/detail/DurableFile.h"
#include "ibisgw/adapters/detail/LogRecord.h"

#include <fstream>
#include <iterator>

namespace ibisgw::adapters {

namespace {

constexpr auto fileName = "instances";

} // namespace

SavedDirectory loadDirectory(const std::string& folder)
{
    std::ifstream in(folder + "/" + fileName, std::ios::binary);
    const std::string bytes { std::istreambuf_iterator<char>(in), {} };
    SavedDirectory unreadable { {}, {}, in.is_open() };
    detail::LogRecordReader reader(bytes);
    detail::LogRecord record;
    if (reader.next(record) != detail::RecordStatus::Valid || record.type != detail::RecordType::Snapshot)
        return unreadable;
    auto message = decodeSyncMessage(record.payload);
    auto* update = message ? std::get_if<sync::DirectoryUpdate>(&*message) : nullptr;
    return update ? SavedDirectory { std::move(update->items), std::move(update->controllers) } : unreadable;
}

core::Result<void> saveDirectory(const std::string& folder, SavedDirectory directory)
{
    sync::DirectoryUpdate update;
    update.items = std::move(directory.instances);
    // The file has the format of a DirectoryUpdate, whose field `controllers` holds the balancers here.
    update.controllers = std::move(directory.balancers);
    const auto bytes = detail::encodeRecord(detail::RecordType::Snapshot, encodeSyncMessage(std::move(update)));
    return detail::replaceFile(folder, fileName, bytes);
}

} // namespace ibisgw::adapters
