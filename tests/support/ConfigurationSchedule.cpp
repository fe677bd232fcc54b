#include "support/ConfigurationSchedule.h"

#include "ibisgw/core/PcgRandomSource.h"

#include <algorithm>

namespace support {

using namespace ibisgw;
using namespace ibisgw::configuration;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration faultDuration = 20s;
constexpr core::Duration recoveryLimit = 30s;

RaftOptions drawOptions(core::RandomSource& random, const DisabledRules& disabled, MembershipMode mode)
{
    RaftOptions options;
    options.membershipMode = mode;
    if (mode == MembershipMode::Open)
        options.commitSaveInterval = 100ms;
    options.snapshotEntries = random.chance(0.5) ? 8 : 64;
    options.trailingEntries = random.chance(0.5) ? 0 : 8;
    // With at most one entry in a message, a follower can acknowledge an entry of an old term before it receives an
    // entry of the leader's own term.
    options.maxAppendBytes = random.chance(0.5) ? 1 : 4096;
    options.disabledRules = disabled;
    return options;
}

class Schedule {
public:
    Schedule(std::uint64_t seed, const DisabledRules& disabled, MembershipMode mode, DiskLosses diskLosses,
        Replacements replacements)
        : m_random(seed)
        , m_queue({ 1ms, 20ms, 0.0, 0.0 }, m_random)
        , m_diskLosses(diskLosses)
        , m_replacements(replacements)
        , m_group(makeGroup(drawSize(), drawOptions(m_random, disabled, mode)))
    {
    }

    ScheduleResult run()
    {
        m_group.startAll();
        m_group.runUntilComplete(recoveryLimit);
        m_end = m_queue.now() + faultDuration;
        m_queue.conditions() = { 1ms, 30ms, m_random.unit() * 0.1, 0.02 };
        scheduleOperators();
        scheduleReads();
        scheduleFaults();
        m_queue.runUntil(m_end);
        return finish();
    }

private:
    using Machine = ControllerGroup::Machine;

    core::Duration drawDuration(core::Duration low, core::Duration high)
    {
        return low + core::Duration(m_random.below(static_cast<std::uint64_t>((high - low).count())));
    }

    std::size_t drawSize()
    {
        const std::size_t smaller = m_diskLosses == DiskLosses::LeaveMajority ? 3 : 4;
        return m_random.chance(0.5) ? smaller : smaller + 2;
    }

    ControllerGroup makeGroup(std::size_t size, RaftOptions options)
    {
        const auto successors = m_replacements == Replacements::InEachZone ? size : 0;
        return { size + successors, std::move(options), m_queue, m_random, successors };
    }

    Machine drawMachine() { return 1 + m_random.below(m_group.size()); }

    bool isUsable(Machine machine) const { return m_group.isRunning(machine) && !m_group.isPaused(machine); }

    // Periodically submits changes of one or two operators. Two operators use the same base revision at about the same
    // time, so that at most one of the changes may be accepted.
    void scheduleOperators()
    {
        m_queue.after(drawDuration(100ms, 500ms), [this](core::TimePoint now) {
            if (now >= m_end)
                return;
            const auto machine = drawMachine();
            if (isUsable(machine)) {
                const auto leader = m_group.acceptingLeader();
                const bool isCurrent = leader != 0 && m_random.chance(0.8);
                const auto base = m_group.service(isCurrent ? leader : machine).newestCommitted().revision;
                const auto operators = 1 + m_random.below(2);
                for (std::uint64_t n = 0; n < operators; ++n) {
                    const auto number = std::to_string(m_submissions.size());
                    m_submissions.push_back({ "s" + number, "operator " + number, base, R"({"n":)" + number + "}" });
                    submitWithRetries(m_submissions.size() - 1, drawMachine(), 0);
                }
            }
            scheduleOperators();
        });
    }

    void submitWithRetries(std::size_t number, Machine machine, int attempts)
    {
        constexpr int maxAttempts = 12;
        const auto submission = m_submissions[number];
        auto next = drawMachine();
        if (isUsable(machine)) {
            const auto outcome = m_group.submit(machine, submission);
            if (outcome.leader.isValid() && m_random.chance(0.8))
                next = outcome.leader.value;
            // In 30 % of the cases the operator submits again after a final outcome, as if the answer had been lost.
            if (outcome.isFinal() && m_random.chance(0.7))
                return;
        }
        if (attempts >= maxAttempts)
            return;
        m_queue.after(drawDuration(20ms, 900ms),
            [this, number, next, attempts](core::TimePoint) { submitWithRetries(number, next, attempts + 1); });
    }

    void scheduleReads()
    {
        m_queue.after(drawDuration(100ms, 500ms), [this](core::TimePoint now) {
            if (now >= m_end)
                return;
            const auto machine = drawMachine();
            const auto newestAtStart = m_group.checks().newestAccepted();
            if (isUsable(machine)) {
                if (const auto ticket = m_group.beginRead(machine))
                    pollRead(machine, *ticket, newestAtStart, 0);
            }
            scheduleReads();
        });
    }

    void pollRead(Machine machine, ReadTicket ticket, core::Revision newestAtStart, int attempts)
    {
        constexpr int maxAttempts = 20;
        if (!m_group.isRunning(machine) || attempts > maxAttempts)
            return;
        const auto state = m_group.isPaused(machine) ? ReadState::Pending : m_group.service(machine).readState(ticket);
        if (state == ReadState::Ready)
            m_group.checks().recordRead(newestAtStart, m_group.service(machine).newestCommitted().revision);
        if (state == ReadState::Pending)
            m_queue.after(20ms, [=, this](core::TimePoint) { pollRead(machine, ticket, newestAtStart, attempts + 1); });
    }

    void scheduleFaults()
    {
        m_queue.after(drawDuration(100ms, 1500ms), [this](core::TimePoint now) {
            if (now >= m_end)
                return;
            if (now >= m_noFaultsUntil)
                injectFault();
            scheduleFaults();
        });
    }

    void restartLater(Machine machine)
    {
        m_queue.after(drawDuration(50ms, 3000ms), [this, machine](core::TimePoint) {
            if (!m_gone.contains(machine))
                m_group.start(machine);
        });
    }

    // A controller that has a successor is killed and never starts again.
    void endForGood(Machine machine)
    {
        const auto successor = machine + m_group.initialSize();
        if (!m_group.isInitial(machine) || !m_group.isRunning(successor) || !m_group.mayEndForGood(machine))
            return;
        m_group.kill(machine);
        m_group.store(machine).wipe();
        m_gone.insert(machine);
    }

    void injectFault()
    {
        const auto machine
            = m_random.chance(0.4) && m_group.acceptingLeader() ? m_group.acceptingLeader() : drawMachine();
        if (m_replacements == Replacements::InEachZone && m_random.chance(0.3)) {
            endForGood(machine);
            return;
        }
        switch (m_random.below(10)) {
        case 0:
        case 1:
            kill(machine);
            break;
        case 2:
            // Two controllers at once.
            kill(machine);
            kill(drawMachine());
            break;
        case 3:
            // The controller fails in the middle of a step: after the writes and before the messages.
            m_group.store(machine).failNextSync(m_random.chance(0.5));
            m_queue.after(drawDuration(100ms, 2000ms), [this, machine](core::TimePoint) { kill(machine); });
            break;
        case 4:
            m_group.pause(machine);
            m_queue.after(drawDuration(200ms, 4000ms), [this, machine](core::TimePoint) { m_group.resume(machine); });
            break;
        case 5:
            m_group.isolate(machine);
            healLater();
            break;
        case 6:
            m_queue.cut(machine, drawMachine());
            healLater();
            break;
        case 7:
            m_queue.cutBoth(machine, drawMachine());
            healLater();
            break;
        case 8:
            wipe(machine);
            break;
        default:
            if (m_diskLosses == DiskLosses::LeaveQuorum)
                wipe(machine);
            else if (m_diskCopies.contains(machine) && m_random.chance(0.5))
                restoreCopy(machine);
            else
                m_diskCopies[machine] = m_group.store(machine).copy();
        }
    }

    void kill(Machine machine)
    {
        m_group.kill(machine, m_random.chance(0.8));
        restartLater(machine);
    }

    void healLater()
    {
        m_queue.after(drawDuration(500ms, 5000ms), [this](core::TimePoint) { m_queue.healAll(); });
    }

    void wipe(Machine machine)
    {
        const bool isAllowed = m_diskLosses == DiskLosses::LeaveMajority ? m_group.mayLoseDisk(machine)
                                                                         : m_group.hasQuorumWithoutDisk(machine);
        if (!isAllowed)
            return;
        m_group.kill(machine);
        m_group.store(machine).wipe();
        m_diskCopies.erase(machine);
        ++m_lostDisks;
        restartLater(machine);
    }

    // Restarts the controller on an older copy of its disk. The other controllers detect that the disk is outdated, so
    // all of them must run and be reachable: cuts and message loss are disabled for 3 s.
    void restoreCopy(Machine machine)
    {
        if (!m_group.mayLoseDisk(machine) || m_group.store(machine).disk() != m_diskCopies[machine].disk)
            return;
        for (Machine other = 1; other <= m_group.size(); ++other) {
            if (!isUsable(other) || m_group.service(other).raft().role() == RaftRole::Halted)
                return;
        }
        m_group.kill(machine);
        m_group.store(machine).restoreCopy(m_diskCopies[machine]);
        ++m_lostDisks;
        m_queue.healAll();
        const auto loss = std::exchange(m_queue.conditions().loss, 0.0);
        m_noFaultsUntil = m_queue.now() + 3s;
        m_queue.at(m_noFaultsUntil, [this, loss](core::TimePoint) { m_queue.conditions().loss = loss; });
        m_group.start(machine);
    }

    // Ends all faults, waits until the group has recovered, and collects the results.
    ScheduleResult finish()
    {
        m_queue.healAll();
        m_queue.conditions() = { 1ms, 20ms, 0.0, 0.0 };
        m_queue.runFor(5s); // until the scheduled restarts and resumptions have happened
        for (Machine machine = 1; machine <= m_group.size(); ++machine) {
            m_group.resume(machine);
            if (m_group.isRunning(machine) && m_group.service(machine).raft().role() == RaftRole::Halted)
                m_group.kill(machine);
            if (!m_gone.contains(machine))
                m_group.start(machine);
        }
        ScheduleResult result;
        result.hasRecovered = m_group.runUntilComplete(recoveryLimit) && submitFinalChange();
        for (const auto& it : m_submissions)
            count(it, result);
        result.violations = m_group.checks().violations();
        result.firstViolation = m_group.checks().firstViolation();
        result.lostDisks = m_lostDisks;
        result.gone = m_gone.size();
        return result;
    }

    bool submitFinalChange()
    {
        const auto leader = m_group.acceptingLeader();
        const auto base = m_group.service(leader).newestCommitted().revision;
        if (base < m_group.checks().newestAccepted())
            m_group.checks().recordRead(m_group.checks().newestAccepted(), base);
        const Submission last { "last", "operator", base, R"({"last":true})" };
        m_group.submit(leader, last);
        return m_group.runUntil(
            [&] {
                return m_group.isRunning(leader)
                    && m_group.service(leader).outcomeOf(last.id).kind == OutcomeKind::Accepted;
            },
            5s);
    }

    // Queries the outcome of the submission on every running controller and checks it; machine 1 counts for the totals.
    void count(const Submission& submission, ScheduleResult& result)
    {
        for (Machine machine = 1; machine <= m_group.size(); ++machine) {
            if (!m_group.isRunning(machine))
                continue;
            const auto outcome = m_group.service(machine).outcomeOf(submission.id);
            m_group.checks().recordOutcome(submission, outcome);
            if (machine != 1)
                continue;
            result.accepted += outcome.kind == OutcomeKind::Accepted;
            result.conflicts += outcome.kind == OutcomeKind::Conflict;
        }
    }

    core::PcgRandomSource m_random;
    MessageQueue m_queue;
    DiskLosses m_diskLosses;
    Replacements m_replacements;
    ControllerGroup m_group;
    core::TimePoint m_end;
    // No faults are injected before this time.
    core::TimePoint m_noFaultsUntil;
    std::vector<Submission> m_submissions;
    // Older copies of disks, to be restored later.
    std::map<Machine, StoredState> m_diskCopies;
    std::size_t m_lostDisks { 0 };
    std::set<Machine> m_gone;
};

} // namespace

std::size_t ScheduleResult::count(ViolationKind kind) const
{
    const auto it = violations.find(kind);
    return it == violations.end() ? 0 : it->second;
}

ScheduleResult runConfigurationSchedule(
    std::uint64_t seed, DisabledRules disabled, MembershipMode mode, DiskLosses diskLosses, Replacements replacements)
{
    return Schedule(seed, disabled, mode, diskLosses, replacements).run();
}

} // namespace support
