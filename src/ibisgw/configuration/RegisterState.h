#pragma once

#include "ibisgw/configuration/StateMachine.h"

#include <cstdint>

namespace ibisgw::configuration {

// State machine of ConfigurationRegister: keeps the text with the highest version. A command with a lower or equal
// version has no effect, so duplicated and reordered changes are harmless.
class RegisterState final : public StateMachine {
public:
    // Command for the log.
    static std::string encode(std::uint64_t version, const std::string& text);

    // Version in such a command; 0 if the command is malformed.
    static std::uint64_t versionOf(const std::string& command);

    void apply(const std::string& command) override;
    std::string takeSnapshot() const override;
    core::Result<void> restore(const std::string& state) override;

    // 0 until the first command is applied.
    std::uint64_t version() const { return m_version; }
    const std::string& text() const { return m_text; }

private:
    std::uint64_t m_version { 0 };
    std::string m_text;
};

} // namespace ibisgw::configuration
