#pragma once

#include <string>

namespace ibisgw::core {

// One fault of a JSON document or settings file.
struct Problem {
    // JSON pointer (RFC 6901) to the invalid value.
    std::string path;
    // What is wrong and how to correct it; shown to operators.
    std::string message;
};

} // namespace ibisgw::core
