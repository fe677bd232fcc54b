#include "ibisgw/adapters/detail/DepthChecker.h"

namespace ibisgw::adapters::detail {

DepthChecker::DepthChecker(int maxDepth)
    : m_maxDepth(maxDepth)
{
}

bool DepthChecker::null()
{
    return true;
}

bool DepthChecker::boolean(bool)
{
    return true;
}

bool DepthChecker::number_integer(number_integer_t)
{
    return true;
}

bool DepthChecker::number_unsigned(number_unsigned_t)
{
    return true;
}

bool DepthChecker::number_float(number_float_t, const string_t&)
{
    return true;
}

bool DepthChecker::string(string_t&)
{
    return true;
}

bool DepthChecker::binary(binary_t&)
{
    return true;
}

bool DepthChecker::key(string_t&)
{
    return true;
}

// Objects are rejected, because messages consist of arrays and scalar values only.
bool DepthChecker::start_object(std::size_t)
{
    return false;
}

bool DepthChecker::end_object()
{
    return false;
}

bool DepthChecker::start_array(std::size_t)
{
    return ++m_depth <= m_maxDepth;
}

bool DepthChecker::end_array()
{
    --m_depth;
    return true;
}

bool DepthChecker::parse_error(std::size_t, const std::string&, const nlohmann::json::exception&)
{
    return false;
}

} // namespace ibisgw::adapters::detail
