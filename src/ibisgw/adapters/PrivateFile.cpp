#include "ibisgw/adapters/PrivateFile.h"

#include <array>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace ibisgw::adapters {

namespace {

// Far above any list of keys or tokens; bounds what a wrong file name can load.
constexpr std::size_t maxFileBytes = 1024UL * 1024;

core::Result<std::string> readAll(int fd, const std::string& title)
{
    struct stat status { };
    if (::fstat(fd, &status) != 0 || !S_ISREG(status.st_mode))
        return core::fail(core::ErrorKind::InvalidInput, title + " is not a regular file; name another file");
    if (status.st_mode & (S_IRWXG | S_IRWXO))
        return core::fail(
            core::ErrorKind::PermissionDenied, title + " is accessible to other users; run chmod 600 on it");
    std::string text;
    std::array<char, 4096> buf;
    for (;;) {
        const auto n = ::read(fd, buf.data(), buf.size());
        if (n < 0 || text.size() > maxFileBytes)
            return core::fail(core::ErrorKind::IoFailed, title + " cannot be read or exceeds 1 MiB; check the file");
        if (n == 0)
            return text;
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
}

} // namespace

core::Result<std::string> readPrivateFile(const std::string& file, const std::string& description)
{
    const auto title = description + " '" + file + "'";
    const int fd = ::open(file.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
    if (fd < 0)
        return core::fail(
            core::ErrorKind::NotFound, title + " is missing or unreadable; correct its name in the settings");
    auto text = readAll(fd, title);
    ::close(fd);
    return text;
}

} // namespace ibisgw::adapters
