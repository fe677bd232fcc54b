#include "support/TemporaryFolder.h"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace support {

TemporaryFolder::TemporaryFolder()
    : m_path((std::filesystem::temp_directory_path() / "ibisgw-XXXXXX").string())
{
    if (!::mkdtemp(m_path.data()))
        throw std::runtime_error("cannot create a temporary folder");
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec);
}

std::size_t TemporaryFolder::bytes() const
{
    std::size_t sum = 0;
    for (const auto& it : std::filesystem::recursive_directory_iterator(m_path)) {
        if (it.is_regular_file())
            sum += it.file_size();
    }
    return sum;
}

} // namespace support
