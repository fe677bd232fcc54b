#include "ibisgw/adapters/detail/DurableFile.h"

#include "ibisgw/adapters/detail/DataFolderContents.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace ibisgw::adapters::detail {

boost::leaf::error_id ioFailure(const std::string& file, const std::string& operation, int number)
{
    const bool isFull = number == ENOSPC || number == EDQUOT || number == EFBIG;
    return core::fail(isFull ? core::ErrorKind::ResourceExhausted : core::ErrorKind::IoFailed,
        operation + " of '" + file + "' failed: " + std::strerror(number)
            + (isFull ? "; free space and restart the controller"
                      : "; check or replace the disk and restart the controller"));
}

core::Result<void> writeAll(int descriptor, const std::string& file, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::write(descriptor, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return ioFailure(file, "write", n < 0 ? errno : ENOSPC);
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return {};
}

core::Result<void> syncFolder(const std::string& folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return ioFailure(folder, "open", errno);
    const int number = ::fsync(descriptor) == 0 ? 0 : errno;
    ::close(descriptor);
    if (number != 0)
        return ioFailure(folder, "sync", number);
    return {};
}

core::Result<void> replaceFile(const std::string& folder, const std::string& name, const std::string& bytes)
{
    const auto file = folder + "/" + name;
    const auto temporary = file + temporarySuffix;
    const int descriptor = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, privateFileMode);
    if (descriptor < 0)
        return ioFailure(temporary, "open", errno);
    auto written = writeAll(descriptor, temporary, bytes);
    const int number = !written || ::fsync(descriptor) == 0 ? 0 : errno;
    ::close(descriptor);
    if (!written)
        return written.error();
    if (number != 0)
        return ioFailure(temporary, "sync", number);
    if (::rename(temporary.c_str(), file.c_str()) != 0)
        return ioFailure(temporary, "rename", errno);
    return syncFolder(folder);
}

} // namespace ibisgw::adapters::detail
