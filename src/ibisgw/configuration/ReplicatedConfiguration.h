#pragma once

#include "ibisgw/configuration/RevisionHistory.h"
#include "ibisgw/configuration/StateMachine.h"
#include "ibisgw/configuration/Submission.h"
#include "ibisgw/configuration/SubmissionTable.h"

namespace ibisgw::configuration {

// State machine of ConfigurationService: accepted revisions and the outcomes of submissions. A submission is accepted
// or rejected when its command is applied, so all controllers reach the same outcome.
class ReplicatedConfiguration final : public StateMachine {
public:
    // `keepsFirstOutcome`: a submission whose identifier already has an outcome is not applied again. False only in
    // tests that disable this rule.
    explicit ReplicatedConfiguration(bool keepsFirstOutcome = true);

    void apply(const std::string& command) override;
    std::string takeSnapshot() const override;
    core::Result<void> restore(const std::string& state) override;

    // Command for the log. Contains a patch instead of the document if the base is the current revision and the patch
    // is shorter.
    std::string encode(const Submission&) const;

    bool keepsFirstOutcome() const { return m_keepsFirstOutcome; }
    const RevisionHistory& history() const { return m_history; }
    const SubmissionTable& submissions() const { return m_submissions; }

private:
    // Accepts the submission if its base is the current revision; otherwise the outcome is a conflict. With `isPatch`
    // the document of the submission is a patch of the base.
    SubmissionOutcome decideSubmission(Submission, bool isPatch);

    bool m_keepsFirstOutcome;
    RevisionHistory m_history;
    SubmissionTable m_submissions;
};

} // namespace ibisgw::configuration
