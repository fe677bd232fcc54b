#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>

namespace ibisgw::adapters::detail {

// Reads the elements of a JSON array in order and checks their types. Errors are sticky: after the
// first one every call returns an empty value, so the caller checks finished() once at the end.
class JsonArrayReader {
public:
    explicit JsonArrayReader(const nlohmann::json&);

    std::uint64_t number(std::uint64_t maxValue = std::numeric_limits<std::uint64_t>::max());
    bool boolean();
    std::string text();
    std::string bytes();
    // A nested array; an empty one after an error.
    const nlohmann::json& array();

    // True when all elements were read, for fields that earlier releases did not write.
    bool isAtEnd() const { return m_next == m_array.size(); }
    void fail() { m_failed = true; }
    bool failed() const { return m_failed; }
    // True when all elements were read and had the expected types.
    bool finished() const { return !m_failed && isAtEnd(); }

private:
    const nlohmann::json* takeNext();

    const nlohmann::json& m_array;
    std::size_t m_next { 0 };
    bool m_failed { false };
};

} // namespace ibisgw::adapters::detail
