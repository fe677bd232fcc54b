#pragma once

#include <string>

namespace ibisgw::core {

// One fault of a JSON document or settings file.
struct Problem {
    // JSON pointer (RFC 6901) to the value at fault.
    std::string path;
    // What is wrong and how to correct it.
    std::string message;
};

} // namespace ibisgw::core
