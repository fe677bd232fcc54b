#pragma once

#include "ibisgw/core/Endpoint.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

struct st_h2o_socket_t;

namespace ibisgw::adapters {

class EventLoop;

// Non-blocking TCP connection on the event loop, with a bounded output buffer.
class TcpStream {
public:
    struct Callbacks {
        std::function<void()> connected;
        std::function<void(const char*, std::size_t)> received;
        // Called once, when the connection attempt has failed or the connection is closed. The stream cannot be used
        // afterwards.
        std::function<void()> closed;
    };

    // Starts to connect; `connected` or `closed` is called later. Returns null when no socket can be created.
    static std::unique_ptr<TcpStream> connect(EventLoop&, core::Endpoint, Callbacks);
    // Takes ownership of an accepted h2o socket.
    static std::unique_ptr<TcpStream> adopt(st_h2o_socket_t*, Callbacks);
    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    // Appends to the output buffer. Closes the connection instead when the data does not fit because the peer reads too
    // slowly.
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
    std::string m_queuedOutput;
    // Output that h2o is writing; must stay unchanged until then.
    std::string m_outputInFlight;
};

} // namespace ibisgw::adapters
