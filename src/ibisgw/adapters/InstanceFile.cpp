#include "ibisgw/adapters/InstanceFile.h"

#include "ibisgw/adapters/SyncCodec.h"
#include "ibisgw/adapters/detail/LogRecord.h"

#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sys/stat.h>
#include <unistd.h>

namespace ibisgw::adapters {

SavedDirectory loadDirectory(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    const std::string bytes { std::istreambuf_iterator<char>(in), {} };
    detail::LogRecordReader reader(bytes);
    detail::LogRecord record;
    if (reader.next(record) != detail::RecordStatus::Valid || record.type != detail::RecordType::Snapshot)
        return {};
    auto message = decodeSyncMessage(record.payload);
    auto* update = message ? std::get_if<sync::DirectoryUpdate>(&*message) : nullptr;
    return update ? SavedDirectory { std::move(update->items), std::move(update->controllers) } : SavedDirectory {};
}

bool saveDirectory(const std::string& file, SavedDirectory directory)
{
    sync::DirectoryUpdate update;
    update.items = std::move(directory.instances);
    update.controllers = std::move(directory.balancers);
    const auto bytes = detail::encodeRecord(detail::RecordType::Snapshot, encodeSyncMessage(std::move(update)));
    const auto temporary = file + ".tmp";
    const int fd = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (fd < 0)
        return false;
    const bool isWritten = ::write(fd, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
    const bool isSynced = isWritten && ::fdatasync(fd) == 0;
    ::close(fd);
    // Without a sync of the folder the old file may come back, which is as good.
    return isSynced && std::rename(temporary.c_str(), file.c_str()) == 0;
}

} // namespace ibisgw::adapters
