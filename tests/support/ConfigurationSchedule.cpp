#include "support/ConfigurationSchedule.h"

#include "ibisgw/core/PcgRandomSource.h"

#include <algorithm>

namespace support {

using namespace ibisgw;
using namespace ibisgw::configuration;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration faultPeriod = 20s;
constexpr core::Duration recoveryLimit = 30s;

RaftOptions drawOptions(core::RandomSource& random, const DisabledRules& disabled, MembershipMode mode)
{
    RaftOptions options;
    options.membershipMode = mode;
    if (mode == MembershipMode::Open)
        options.commitSaveInterval = 100ms;
    options.snapshotEntries = random.chance(0.5) ? 8 : 64;
    options.trailingEntries = random.chance(0.5) ? 0 : 8;
    // One entry in each message lets a follower acknowledge entries of an old term on their own.
    options.maxAppendBytes = random.chance(0.5) ? 1 : 4096;
    options.disabledRules = disabled;
    return options;
}

class Schedule {
public:
    Schedule(std::uint64_t seed, const DisabledRules& disabled, MembershipMode mode)
        : m_random(seed)
        , m_queue({ 1ms, 20ms, 0.0, 0.0 }, m_random)
        , m_group(m_random.chance(0.5) ? 3 : 5, drawOptions(m_random, disabled, mode), m_queue, m_random)
    {
    }

    ScheduleResult run()
    {
        m_group.startAll();
        m_group.runUntilComplete(recoveryLimit);
        m_end = m_queue.now() + faultPeriod;
        m_queue.conditions() = { 1ms, 30ms, m_random.unit() * 0.1, 0.02 };
        scheduleOperators();
        scheduleReads();
        scheduleFaults();
        m_queue.runUntil(m_end);
        return finish();
    }

private:
    using Machine = ControllerGroup::Machine;

    core::Duration between(core::Duration low, core::Duration high)
    {
        return low + core::Duration(m_random.below(static_cast<std::uint64_t>((high - low).count())));
    }

    Machine anyMachine() { return 1 + m_random.below(m_group.size()); }

    bool isUsable(Machine machine) const { return m_group.isRunning(machine) && !m_group.isPaused(machine); }

    // Two operators submit changes of the same revision at about the same time.
    void scheduleOperators()
    {
        m_queue.after(between(100ms, 500ms), [this](core::TimePoint now) {
            if (now >= m_end)
                return;
            const auto machine = anyMachine();
            if (isUsable(machine)) {
                const auto leader = m_group.acceptingLeader();
                const bool isCurrent = leader != 0 && m_random.chance(0.8);
                const auto base = m_group.service(isCurrent ? leader : machine).newestKnown().revision;
                const auto racers = 1 + m_random.below(2);
                for (std::uint64_t n = 0; n < racers; ++n) {
                    const auto number = std::to_string(m_submissions.size());
                    m_submissions.push_back({ "s" + number, "operator " + number, base, R"({"n":)" + number + "}" });
                    attempt(m_submissions.size() - 1, anyMachine(), 0);
                }
            }
            scheduleOperators();
        });
    }

    void attempt(std::size_t number, Machine machine, int tries)
    {
        constexpr int maxTries = 12;
        const auto submission = m_submissions[number];
        auto next = anyMachine();
        if (isUsable(machine)) {
            const auto outcome = m_group.submit(machine, submission);
            if (outcome.leader.isValid() && m_random.chance(0.8))
                next = outcome.leader.value;
            // The answer may be lost, so that the operator submits again after a final outcome.
            if (outcome.isFinal() && m_random.chance(0.7))
                return;
        }
        if (tries >= maxTries)
            return;
        m_queue.after(
            between(20ms, 900ms), [this, number, next, tries](core::TimePoint) { attempt(number, next, tries + 1); });
    }

    void scheduleReads()
    {
        m_queue.after(between(100ms, 500ms), [this](core::TimePoint now) {
            if (now >= m_end)
                return;
            const auto machine = anyMachine();
            const auto floor = m_group.checks().newestAccepted();
            if (isUsable(machine)) {
                if (const auto ticket = m_group.beginRead(machine))
                    pollRead(machine, *ticket, floor, 0);
            }
            scheduleReads();
        });
    }

    void pollRead(Machine machine, ReadTicket ticket, core::Revision floor, int tries)
    {
        constexpr int maxTries = 20;
        if (!m_group.isRunning(machine) || tries > maxTries)
            return;
        const auto state = m_group.isPaused(machine) ? ReadState::Pending : m_group.service(machine).readState(ticket);
        if (state == ReadState::Ready)
            m_group.checks().readAnswered(floor, m_group.service(machine).newestKnown().revision);
        if (state == ReadState::Pending)
            m_queue.after(20ms, [=, this](core::TimePoint) { pollRead(machine, ticket, floor, tries + 1); });
    }

    void scheduleFaults()
    {
        m_queue.after(between(100ms, 1500ms), [this](core::TimePoint now) {
            if (now >= m_end)
                return;
            if (now >= m_quietUntil)
                injectFault();
            scheduleFaults();
        });
    }

    void restartLater(Machine machine)
    {
        m_queue.after(between(50ms, 3000ms), [this, machine](core::TimePoint) { m_group.start(machine); });
    }

    void injectFault()
    {
        const auto machine
            = m_random.chance(0.4) && m_group.acceptingLeader() ? m_group.acceptingLeader() : anyMachine();
        switch (m_random.below(10)) {
        case 0:
        case 1:
            kill(machine);
            break;
        case 2:
            // Two faults at once.
            kill(machine);
            kill(anyMachine());
            break;
        case 3:
            // Ends in the middle of a step: after its writes and before its messages.
            m_group.store(machine).failNextSync(m_random.chance(0.5));
            m_queue.after(between(100ms, 2000ms), [this, machine](core::TimePoint) { kill(machine); });
            break;
        case 4:
            m_group.pause(machine);
            m_queue.after(between(200ms, 4000ms), [this, machine](core::TimePoint) { m_group.resume(machine); });
            break;
        case 5:
            m_group.isolate(machine);
            healLater();
            break;
        case 6:
            m_queue.cut(machine, anyMachine());
            healLater();
            break;
        case 7:
            m_queue.cutBoth(machine, anyMachine());
            healLater();
            break;
        case 8:
            wipe(machine);
            break;
        default:
            if (m_copies.contains(machine) && m_random.chance(0.5))
                restoreCopy(machine);
            else
                m_copies[machine] = m_group.store(machine).copy();
        }
    }

    void kill(Machine machine)
    {
        m_group.kill(machine, m_random.chance(0.8));
        restartLater(machine);
    }

    void healLater()
    {
        m_queue.after(between(500ms, 5000ms), [this](core::TimePoint) { m_queue.healAll(); });
    }

    void wipe(Machine machine)
    {
        if (!m_group.mayLoseDisk(machine))
            return;
        m_group.kill(machine);
        m_group.store(machine).wipe();
        m_copies.erase(machine);
        ++m_lostDisks;
        restartLater(machine);
    }

    // The age of a disk is judged by the other controllers, so all of them are reachable here.
    void restoreCopy(Machine machine)
    {
        if (!m_group.mayLoseDisk(machine) || m_group.store(machine).disk() != m_copies[machine].disk)
            return;
        for (Machine other = 1; other <= m_group.size(); ++other) {
            if (!isUsable(other) || m_group.service(other).raft().role() == RaftRole::Halted)
                return;
        }
        m_group.kill(machine);
        m_group.store(machine).restoreCopy(m_copies[machine]);
        ++m_lostDisks;
        m_queue.healAll();
        const auto loss = std::exchange(m_queue.conditions().loss, 0.0);
        m_quietUntil = m_queue.now() + 3s;
        m_queue.at(m_quietUntil, [this, loss](core::TimePoint) { m_queue.conditions().loss = loss; });
        m_group.start(machine);
    }

    ScheduleResult finish()
    {
        m_queue.healAll();
        m_queue.conditions() = { 1ms, 20ms, 0.0, 0.0 };
        m_queue.runFor(5s); // planned restarts and resumptions
        for (Machine machine = 1; machine <= m_group.size(); ++machine) {
            m_group.resume(machine);
            if (m_group.isRunning(machine) && m_group.service(machine).raft().role() == RaftRole::Halted)
                m_group.kill(machine);
            m_group.start(machine);
        }
        ScheduleResult result;
        result.recovered = m_group.runUntilComplete(recoveryLimit) && submitLast();
        for (const auto& it : m_submissions)
            count(it, result);
        result.violations = m_group.checks().violations();
        result.firstViolation = m_group.checks().firstViolation();
        result.lostDisks = m_lostDisks;
        return result;
    }

    bool submitLast()
    {
        const auto leader = m_group.acceptingLeader();
        const auto base = m_group.service(leader).newestKnown().revision;
        if (base < m_group.checks().newestAccepted())
            m_group.checks().readAnswered(m_group.checks().newestAccepted(), base);
        const Submission last { "last", "operator", base, R"({"last":true})" };
        m_group.submit(leader, last);
        return m_group.runUntil(
            [&] {
                return m_group.isRunning(leader)
                    && m_group.service(leader).outcomeOf(last.id).kind == OutcomeKind::Accepted;
            },
            5s);
    }

    // Every submission is asked for again at the end, on every controller.
    void count(const Submission& submission, ScheduleResult& result)
    {
        for (Machine machine = 1; machine <= m_group.size(); ++machine) {
            if (!m_group.isRunning(machine))
                continue;
            const auto outcome = m_group.service(machine).outcomeOf(submission.id);
            m_group.checks().answered(submission, outcome);
            if (machine != 1)
                continue;
            result.accepted += outcome.kind == OutcomeKind::Accepted;
            result.conflicts += outcome.kind == OutcomeKind::Conflict;
        }
    }

    core::PcgRandomSource m_random;
    MessageQueue m_queue;
    ControllerGroup m_group;
    core::TimePoint m_end;
    core::TimePoint m_quietUntil;
    std::vector<Submission> m_submissions;
    std::map<Machine, StoredState> m_copies;
    std::size_t m_lostDisks { 0 };
};

} // namespace

std::size_t ScheduleResult::count(ViolationKind kind) const
{
    const auto it = violations.find(kind);
    return it == violations.end() ? 0 : it->second;
}

ScheduleResult runConfigurationSchedule(std::uint64_t seed, DisabledRules disabled, MembershipMode mode)
{
    return Schedule(seed, disabled, mode).run();
}

} // namespace support
