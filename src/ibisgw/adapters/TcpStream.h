#pragma once

#include "ibisgw/core/Endpoint.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

struct st_h2o_socket_t;

namespace ibisgw::adapters {

class EventLoop;

// TCP connection on the event loop with a bounded output buffer.
class TcpStream {
public:
    struct Callbacks {
        std::function<void()> connected;
        std::function<void(const char*, std::size_t)> received;
        // Called once, after which the stream is dead.
        std::function<void()> closed;
    };

    // Starts to connect; `connected` or `closed` follows. Null when no socket can be created.
    static std::unique_ptr<TcpStream> connect(EventLoop&, core::Endpoint, Callbacks);
    // Takes over an accepted h2o socket.
    static std::unique_ptr<TcpStream> adopt(st_h2o_socket_t*, Callbacks);
    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    // Closes the stream instead when the peer reads too slowly and the buffer is full.
    void write(const char*, std::size_t);

private:
    explicit TcpStream(Callbacks);

    static void onConnected(st_h2o_socket_t*, const char* error);
    static void onReadable(st_h2o_socket_t*, const char* error);
    static void onWritten(st_h2o_socket_t*, const char* error);

    void attach(st_h2o_socket_t*);
    void flush();
    void close();

    Callbacks m_callbacks;
    st_h2o_socket_t* m_socket { nullptr };
    bool m_isConnected { false };
    std::string m_queued;
    // Held until h2o has written it.
    std::string m_inFlight;
};

} // namespace ibisgw::adapters
