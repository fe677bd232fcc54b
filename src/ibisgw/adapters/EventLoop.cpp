#include "ibisgw/adapters/EventLoop.h"

#include <csignal>
#include <ctime>
#include <h2o.h>
#include <utility>

namespace ibisgw::adapters {

namespace {

// Longest wait for events before run() checks for a termination signal.
constexpr int32_t maxWaitMs = 100;

volatile std::sig_atomic_t terminationSignal = 0;

volatile std::sig_atomic_t isReloadRequested = 0;

void recordReloadSignal(int)
{
    isReloadRequested = 1;
}

void recordTerminationSignal(int number)
{
    terminationSignal = number;
}

} // namespace

struct EventLoop::ReadWatch {
    Handler handler;
    h2o_socket_t* socket { nullptr };

    static void onReadable(h2o_socket_t* socket, const char*) { static_cast<ReadWatch*>(socket->data)->handler(); }
};

struct EventLoop::PeriodicTimer {
    // Must be the first member: onTimeout() casts the address of the entry to the address of the object.
    h2o_timeout_entry_t entry {};
    h2o_timeout_t timeout {};
    h2o_loop_t* loop { nullptr };
    Handler handler;

    static void onTimeout(h2o_timeout_entry_t* entry)
    {
        auto* periodic = reinterpret_cast<PeriodicTimer*>(entry);
        h2o_timeout_link(periodic->loop, &periodic->timeout, &periodic->entry);
        periodic->handler();
    }
};

EventLoop::EventLoop()
    : m_loop(h2o_evloop_create())
{
}

// Does not destroy the h2o loop, which lives as long as the process: h2o 2.2.5 cannot destroy a loop that still has
// sockets.
EventLoop::~EventLoop()
{
    for (auto& it : m_watches)
        h2o_socket_close(it->socket);
    for (auto& it : m_periodicTimers) {
        h2o_timeout_unlink(&it->entry);
        h2o_timeout_dispose(m_loop, &it->timeout);
    }
}

void EventLoop::watchReadable(int fd, Handler handler)
{
    auto watch = std::make_unique<ReadWatch>();
    watch->handler = std::move(handler);
    watch->socket = h2o_evloop_socket_create(m_loop, fd, H2O_SOCKET_FLAG_DONT_READ);
    watch->socket->data = watch.get();
    h2o_socket_read_start(watch->socket, ReadWatch::onReadable);
    m_watches.push_back(std::move(watch));
}

void EventLoop::addPeriodic(std::chrono::milliseconds period, Handler handler)
{
    auto periodic = std::make_unique<PeriodicTimer>();
    periodic->handler = std::move(handler);
    periodic->loop = m_loop;
    periodic->entry.cb = PeriodicTimer::onTimeout;
    h2o_timeout_init(m_loop, &periodic->timeout, static_cast<uint64_t>(period.count()));
    h2o_timeout_link(m_loop, &periodic->timeout, &periodic->entry);
    m_periodicTimers.push_back(std::move(periodic));
}

struct EventLoop::Timer::State {
    // Must be the first member: onTimeout() casts the address of the entry to the address of the object.
    h2o_timeout_entry_t entry {};
    h2o_timeout_t timeout {};
    h2o_loop_t* loop { nullptr };
    Handler handler;

    static void onTimeout(h2o_timeout_entry_t* entry) { reinterpret_cast<State*>(entry)->handler(); }
};

EventLoop::Timer::Timer(EventLoop& loop, std::chrono::milliseconds delay, Handler handler)
    : m_state(std::make_unique<State>())
{
    m_state->loop = loop.nativeLoop();
    m_state->handler = std::move(handler);
    m_state->entry.cb = State::onTimeout;
    h2o_timeout_init(m_state->loop, &m_state->timeout, static_cast<uint64_t>(delay.count()));
}

EventLoop::Timer::~Timer()
{
    h2o_timeout_unlink(&m_state->entry);
    h2o_timeout_dispose(m_state->loop, &m_state->timeout);
}

void EventLoop::Timer::start()
{
    if (!h2o_timeout_is_linked(&m_state->entry))
        h2o_timeout_link(m_state->loop, &m_state->timeout, &m_state->entry);
}

EventLoop::Timer& EventLoop::addTimer(std::chrono::milliseconds delay, Handler handler)
{
    m_timers.push_back(std::make_unique<Timer>(*this, delay, std::move(handler)));
    return *m_timers.back();
}

void EventLoop::run()
{
    while (!m_isStopRequested) {
        if (terminationSignal != 0) {
            terminationSignal = 0;
            if (!m_terminationHandler)
                return;
            std::exchange(m_terminationHandler, nullptr)();
        }
        h2o_evloop_run(m_loop, maxWaitMs);
    }
}

void EventLoop::stop()
{
    m_isStopRequested = true;
}

core::TimePoint EventLoop::now() const
{
    return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
}

core::Duration EventLoop::uptime() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

void installTerminationSignals()
{
    struct sigaction action { };
    action.sa_handler = recordTerminationSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

bool takeReloadRequest()
{
    static const bool isInstalled = [] {
        struct sigaction action { };
        action.sa_handler = recordReloadSignal;
        return sigaction(SIGHUP, &action, nullptr) == 0;
    }();
    const bool isRequested = isInstalled && isReloadRequested != 0;
    isReloadRequested = 0;
    return isRequested;
}

} // namespace ibisgw::adapters
