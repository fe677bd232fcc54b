#pragma once

#include "ibisgw/configuration/StateMachine.h"
#include "ibisgw/upstream/ZoneEvacuations.h"

#include <cstdint>
#include <optional>

namespace ibisgw::configuration {

// State machine of ConfigurationRegister: keeps the text with the highest version and, beside it, the set of evacuated
// zones with the highest revision. A command with a lower or equal version or revision has no effect, so duplicated and
// reordered changes are harmless.
class RegisterState final : public StateMachine {
public:
    // Command for the log that replaces the text.
    static std::string encode(std::uint64_t version, const std::string& text);
    // Command for the log that replaces the set of evacuated zones. It has the version 0, so that earlier releases
    // ignore it.
    static std::string encode(const upstream::ZoneEvacuations&);

    // Version in a command of the first kind; 0 for other commands.
    static std::uint64_t versionOf(const std::string& command);
    // Set in a command of the second kind; empty for other commands and for malformed ones.
    static std::optional<upstream::ZoneEvacuations> evacuationsOf(const std::string& command);

    void apply(const std::string& command) override;
    std::string takeSnapshot() const override;
    core::Result<void> restore(const std::string& state) override;

    // 0 until the first text is applied.
    std::uint64_t version() const { return m_version; }
    const std::string& text() const { return m_text; }
    const upstream::ZoneEvacuations& evacuations() const { return m_evacuations; }

private:
    core::Result<void> restoreText(std::string_view state);
    core::Result<void> restoreWithEvacuations(std::string_view state);

    std::uint64_t m_version { 0 };
    std::string m_text;
    upstream::ZoneEvacuations m_evacuations;
};

} // namespace ibisgw::configuration
