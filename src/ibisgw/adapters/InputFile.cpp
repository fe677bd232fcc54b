#include "ibisgw/adapters/InputFile.h"

#include <array>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace ibisgw::adapters {

namespace {

// Far above the size of any list of keys or tokens; bounds the memory if a wrong file is named.
constexpr std::size_t maxPrivateFileBytes = 1024UL * 1024;

enum class Access : std::uint8_t {
    Any,
    OwnerOnly,
};

core::Result<std::string> readAll(int fd, const std::string& title, std::size_t maxBytes, Access access)
{
    struct stat status { };
    if (::fstat(fd, &status) != 0 || !S_ISREG(status.st_mode))
        return core::fail(core::ErrorKind::InvalidInput, title + " is not a regular file; name another file");
    if (access == Access::OwnerOnly && (status.st_mode & (S_IRWXG | S_IRWXO)))
        return core::fail(
            core::ErrorKind::PermissionDenied, title + " is accessible to other users; run chmod 600 on it");
    std::string text;
    std::array<char, 4096> buf;
    for (;;) {
        const auto n = ::read(fd, buf.data(), buf.size());
        if (n < 0)
            return core::fail(core::ErrorKind::IoFailed, title + " cannot be read; check the disk");
        if (text.size() + static_cast<std::size_t>(n) > maxBytes)
            return core::fail(core::ErrorKind::InvalidInput,
                title + " exceeds " + std::to_string(maxBytes) + " bytes; name another file");
        if (n == 0)
            return text;
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
}

core::Result<std::string> read(
    const std::string& file, const std::string& description, std::size_t maxBytes, Access access)
{
    const auto title = description + " '" + file + "'";
    // O_NONBLOCK, because opening a pipe would otherwise block until it has a writer.
    const int fd = ::open(file.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
    if (fd < 0)
        return core::fail(core::ErrorKind::NotFound, title + " is missing or unreadable; correct its name");
    auto text = readAll(fd, title, maxBytes, access);
    ::close(fd);
    return text;
}

} // namespace

core::Result<std::string> readInputFile(const std::string& file, const std::string& description, std::size_t maxBytes)
{
    return read(file, description, maxBytes, Access::Any);
}

std::optional<std::string> readInputFile(const std::string& file, const std::string& description, std::size_t maxBytes,
    const std::function<void(const core::Error&)>& onError)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::Result<std::optional<std::string>> {
            BOOST_LEAF_AUTO(text, readInputFile(file, description, maxBytes));
            return std::optional(std::move(text));
        },
        [&](const core::Error& error) -> std::optional<std::string> {
            onError(error);
            return std::nullopt;
        },
        []() -> std::optional<std::string> { return std::nullopt; });
}

core::Result<std::string> readPrivateFile(const std::string& file, const std::string& description)
{
    return read(file, description, maxPrivateFileBytes, Access::OwnerOnly);
}

} // namespace ibisgw::adapters
