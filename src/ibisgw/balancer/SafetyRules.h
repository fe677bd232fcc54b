#pragma once

#include "ibisgw/packet/Packet.h"

namespace ibisgw::balancer {

// Rules that keep R2 to R5. Only tests switch one off, to show that a check detects its absence.
struct SafetyRules {
    // A verified token replaces a different entry of the flow table.
    bool tokenReplacesEntry { true };
    // A token counts only with a valid tag and for an upstream of the flow's service.
    bool verifyTokens { true };
    // `opened` reaches the caller only through the home of the flow, and only from the flow's upstream.
    bool openedThroughHome { true };
    // A new home asks the previous homes before it places a flow.
    bool askPreviousHomes { true };
    // Late copies of an open do not start a flow that has ended.
    bool rememberEndedFlows { true };
    // Answers of an upstream that is not the flow's are dropped.
    bool dropCrossedAnswers { true };
    // A balancer's own refusal of a request on an established flow is `outcome_unknown`.
    bool requestsRefusedAsUnknown { true };
    // A request is never sent to a second upstream.
    bool requestsStayAtUpstream { true };

    packet::RefusalKind requestRefusal() const
    {
        return requestsRefusedAsUnknown ? packet::RefusalKind::OutcomeUnknown : packet::RefusalKind::NotRun;
    }
};

} // namespace ibisgw::balancer
