#pragma once

#include "ibisgw/core/Time.h"

#include <functional>
#include <memory>
#include <vector>

struct st_h2o_evloop_t;

namespace ibisgw::adapters {

// The one event loop of a process, on the h2o loop. Not thread-safe: everything runs on its thread.
class EventLoop {
public:
    using Handler = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Calls the handler whenever the descriptor is readable. The handler reads until the descriptor
    // would block. The loop takes ownership of the descriptor.
    void watchReadable(int fd, Handler);
    // Calls the handler repeatedly with the given period, first after one period.
    void addPeriodic(std::chrono::milliseconds period, Handler);

    // A handler that runs once, after a fixed delay, each time it is started.
    class Timer;
    Timer& addTimer(std::chrono::milliseconds delay, Handler);

    // Called once when a signal asks the process to end; a second signal stops the loop. Without a handler
    // the first signal stops it.
    void onTermination(Handler handler) { m_terminationHandler = std::move(handler); }

    // Runs until stop() is called or a signal asks the process to end.
    void run();
    void stop();

    // Monotonic time of the process.
    core::TimePoint now() const;
    // For the HTTP server, which shares the loop.
    st_h2o_evloop_t* nativeLoop() const { return m_loop; }

private:
    struct Watch;
    struct Periodic;

    st_h2o_evloop_t* m_loop;
    std::vector<std::unique_ptr<Watch>> m_watches;
    std::vector<std::unique_ptr<Periodic>> m_periodics;
    std::vector<std::unique_ptr<Timer>> m_timers;
    Handler m_terminationHandler;
    bool m_stopRequested { false };
};

class EventLoop::Timer {
public:
    Timer(EventLoop&, std::chrono::milliseconds delay, Handler);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    // No effect while it is running.
    void start();

private:
    struct State;

    std::unique_ptr<State> m_state;
};

// Installs handlers for SIGTERM and SIGINT that only record the signal.
void installTerminationSignals();

// Whether SIGHUP asked for new settings since the last call. Installs the handler at the first call.
bool takeReloadRequest();

} // namespace ibisgw::adapters
