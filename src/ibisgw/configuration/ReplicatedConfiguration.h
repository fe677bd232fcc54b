#pragma once

#include "ibisgw/configuration/RevisionHistory.h"
#include "ibisgw/configuration/StateMachine.h"
#include "ibisgw/configuration/Submission.h"
#include "ibisgw/configuration/SubmissionTable.h"

namespace ibisgw::configuration {

// The state that controllers agree on: accepted revisions and answers to submissions. Every
// submission is decided when it is applied, so all controllers decide alike.
class ReplicatedConfiguration final : public StateMachine {
public:
    // `keepsFirstAnswer` is false only in a test that shows what the rule prevents.
    explicit ReplicatedConfiguration(bool keepsFirstAnswer = true);

    void apply(const std::string& command) override;
    std::string takeSnapshot() const override;
    core::Result<void> restore(const std::string& state) override;

    // Command for the log. Holds a patch instead of the document if the base is the current revision.
    std::string encode(const Submission&) const;

    bool keepsFirstAnswer() const { return m_keepsFirstAnswer; }
    const RevisionHistory& history() const { return m_history; }
    const SubmissionTable& submissions() const { return m_submissions; }

private:
    SubmissionOutcome decide(Submission, bool isPatch);

    bool m_keepsFirstAnswer;
    RevisionHistory m_history;
    SubmissionTable m_submissions;
};

} // namespace ibisgw::configuration
