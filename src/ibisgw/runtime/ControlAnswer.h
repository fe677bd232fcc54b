#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace ibisgw::runtime {

// Upstreams and operators try another controller after 1 s without an answer, so calls are answered before that.
constexpr core::Duration callTimeout = std::chrono::milliseconds(850);

// Outcome of a call of an upstream or an operator.
enum class AnswerKind : std::uint8_t {
    Done,
    RedirectToLeader, // ControlAnswer::leader holds the control address of the leader
    Refused, // the request is valid, but names what does not exist
    Unavailable, // the leader is unknown, or the result was not confirmed in time; the client may retry elsewhere
};

struct ControlAnswer {
    AnswerKind kind { AnswerKind::Unavailable };
    std::optional<core::Endpoint> leader;
    // Text of the configuration for a read, or the reason of a refusal.
    std::string text;
    // Control address to which the upstream should send its reports from now on; empty to keep the present one.
    std::optional<core::Endpoint> reportTo;
};

using AnswerHandler = std::function<void(const ControlAnswer&)>;

} // namespace ibisgw::runtime
