#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace ibisgw::adapters::detail {

// WebSocket connection (RFC 6455) without a socket: the calling code passes received bytes to receive() and sends the
// bytes that it gets from the `write` callback. websocketpp 0.8.2 does not compile as C++20, so the source file is
// compiled as C++17 and this header must not use newer features.
class WebSocketSession {
public:
    struct Callbacks {
        // Bytes to be sent to the peer.
        std::function<void(const char*, std::size_t)> write;
        // One complete received message.
        std::function<void(const std::string&)> message;
        std::function<void()> opened;
        std::function<void()> closed;
    };

    static std::unique_ptr<WebSocketSession> connect(const std::string& uri, Callbacks);
    static std::unique_ptr<WebSocketSession> accept(Callbacks);
    virtual ~WebSocketSession();

    // Processes bytes received from the peer.
    virtual void receive(const char*, std::size_t) = 0;
    // Sends one binary message. Returns false when the session is not open or the message cannot be queued.
    virtual bool send(const void*, std::size_t) = 0;
};

} // namespace ibisgw::adapters::detail
