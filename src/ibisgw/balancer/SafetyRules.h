#pragma once

#include "ibisgw/packet/Packet.h"

namespace ibisgw::balancer {

// Switches for the rules that enforce the requirements R2 to R5 (docs/design.md). All are on in production. A test
// switches one off to show that a check fails without it.
struct SafetyRules {
    // When a verified token and the flow table name different upstreams, the token's upstream replaces the entry.
    bool tokenReplacesEntry { true };
    // A token is accepted only if its tag is valid and its upstream belongs to the flow's service.
    bool verifyTokens { true };
    // An `opened` packet is relayed to the home of its flow, which forwards it to the caller only if it comes from the
    // flow's upstream.
    bool relayOpenedToHome { true };
    // After a change of homes, the new home of a flow queries the previous homes before it places the flow.
    bool queryPreviousHomes { true };
    // Flows that have ended are remembered, so that a late copy of their open does not start them again.
    bool rememberEndedFlows { true };
    // Packets from an upstream other than the flow's are not forwarded to the caller.
    bool dropCrossedAnswers { true };
    // When the balancer itself refuses a request on an established flow, the refusal is `outcome_unknown`.
    bool requestsRefusedAsUnknown { true };
    // A request is never sent to a second upstream, except for the copy of a hedged request (RequestHedging).
    bool requestsStayAtUpstream { true };

    packet::RefusalKind requestRefusal() const
    {
        return requestsRefusedAsUnknown ? packet::RefusalKind::OutcomeUnknown : packet::RefusalKind::NotRun;
    }
};

} // namespace ibisgw::balancer
