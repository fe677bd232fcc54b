#pragma once

#include "ibisgw/configuration/StateMachine.h"

#include <cstdint>

namespace ibisgw::configuration {

// A register that keeps the text with the highest version. A text whose version is not higher than the one held
// changes nothing, so repeated and overtaken changes are harmless.
class RegisterState final : public StateMachine {
public:
    static std::string encode(std::uint64_t version, const std::string& text);

    void apply(const std::string& command) override;
    std::string takeSnapshot() const override;
    core::Result<void> restore(const std::string& state) override;

    // 0 while nothing is held.
    std::uint64_t version() const { return m_version; }
    const std::string& text() const { return m_text; }

private:
    std::uint64_t m_version { 0 };
    std::string m_text;
};

} // namespace ibisgw::configuration
