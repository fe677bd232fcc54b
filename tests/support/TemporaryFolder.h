#pragma once

#include <string>

namespace support {

// Folder that is removed with everything in it at the end of its scope.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return m_path; }
    // Size of all files.
    std::size_t bytes() const;

private:
    std::string m_path;
};

} // namespace support
