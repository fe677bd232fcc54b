#pragma once

#include <nlohmann/json.hpp>

namespace ibisgw::adapters::detail {

// SAX handler that rejects input whose arrays are nested deeper than those of any message, and input with objects. The
// CBOR parser of nlohmann::json is recursive, so malicious input could otherwise exhaust the stack.
class DepthChecker final : public nlohmann::json_sax<nlohmann::json> {
public:
    explicit DepthChecker(int maxDepth);

    bool null() override;
    bool boolean(bool) override;
    bool number_integer(number_integer_t) override;
    bool number_unsigned(number_unsigned_t) override;
    bool number_float(number_float_t, const string_t&) override;
    bool string(string_t&) override;
    bool binary(binary_t&) override;
    bool start_object(std::size_t) override;
    bool key(string_t&) override;
    bool end_object() override;
    bool start_array(std::size_t) override;
    bool end_array() override;
    bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override;

private:
    int m_maxDepth;
    int m_depth { 0 };
};

} // namespace ibisgw::adapters::detail
