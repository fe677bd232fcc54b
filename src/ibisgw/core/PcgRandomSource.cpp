#include "ibisgw/core/PcgRandomSource.h"

namespace ibisgw::core {

PcgRandomSource::PcgRandomSource(std::uint64_t seed)
    : m_generator(seed)
{
}

std::uint64_t PcgRandomSource::next()
{
    return m_generator();
}

} // namespace ibisgw::core
