#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/stat.h>
#include <unistd.h>

namespace support {

// Creates a temporary file with the given content and removes it in the destructor. With the default mode only the
// current user can access the file.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& content, mode_t mode = 0600)
    {
        const int fd = ::mkstemp(m_path.data());
        ::fchmod(fd, mode);
        ::close(fd);
        std::ofstream(m_path) << content;
    }
    ~TemporaryFile() { ::unlink(m_path.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path { (std::filesystem::temp_directory_path() / "ibisgw-test-XXXXXX").string() };
};

} // namespace support
