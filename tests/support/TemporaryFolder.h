#pragma once

#include <string>

namespace support {

// Creates an empty temporary folder and removes it with all its content in the destructor. The constructor throws
// std::runtime_error if the folder cannot be created.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return m_path; }
    // Total size of all files in the folder and its subfolders.
    std::size_t bytes() const;

private:
    std::string m_path;
};

} // namespace support
