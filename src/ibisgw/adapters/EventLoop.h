#pragma once

#include "ibisgw/core/Time.h"

#include <functional>
#include <memory>
#include <vector>

struct st_h2o_evloop_t;

namespace ibisgw::adapters {

// Event loop of the process, a wrapper of the h2o loop. Not thread-safe: all calls and all handlers run on the thread
// that calls run().
class EventLoop {
public:
    using Handler = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Calls the handler whenever the descriptor is readable. The handler must read until the descriptor would block.
    // The loop takes ownership of the descriptor.
    void watchReadable(int fd, Handler);
    // Calls the handler once in each period, for the first time after one period.
    void addPeriodic(std::chrono::milliseconds period, Handler);

    // Runs a handler once, after a fixed delay, each time that the timer is started.
    class Timer;
    Timer& addTimer(std::chrono::milliseconds delay, Handler);

    // Sets the handler of the first termination signal, which may start a graceful shutdown; a second signal stops the
    // loop. Without a handler the first signal stops the loop.
    void setTerminationHandler(Handler handler) { m_terminationHandler = std::move(handler); }

    // Runs until stop() is called or a termination signal stops the loop.
    void run();
    void stop();

    // Monotonic clock of the process.
    core::TimePoint now() const;
    // Time since the VM booted. Unlike the monotonic clock, it counts the time for which the VM was suspended.
    core::Duration uptime() const;
    // The underlying h2o loop, for components that create h2o sockets on it, such as the HTTP server.
    st_h2o_evloop_t* nativeLoop() const { return m_loop; }

private:
    struct ReadWatch;
    struct PeriodicTimer;

    st_h2o_evloop_t* m_loop;
    std::vector<std::unique_ptr<ReadWatch>> m_watches;
    std::vector<std::unique_ptr<PeriodicTimer>> m_periodicTimers;
    std::vector<std::unique_ptr<Timer>> m_timers;
    Handler m_terminationHandler;
    bool m_isStopRequested { false };
};

class EventLoop::Timer {
public:
    Timer(EventLoop&, std::chrono::milliseconds delay, Handler);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    // Starts the delay; no effect while the timer is already running.
    void start();

private:
    struct State;

    std::unique_ptr<State> m_state;
};

// Installs handlers for SIGTERM and SIGINT that record the signal for EventLoop::run(), and ignores SIGPIPE.
void installTerminationSignals();

// Whether SIGHUP, which requests a reload of the settings, has arrived since the last call. The first call installs the
// signal handler.
bool takeReloadRequest();

} // namespace ibisgw::adapters
