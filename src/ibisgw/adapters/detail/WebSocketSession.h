#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace ibisgw::adapters::detail {

// One WebSocket connection (RFC 6455) without a socket: bytes go in and out through calls.
// websocketpp 0.8.2 does not compile as C++20, so the source file is built as C++17 and this header
// uses nothing newer.
class WebSocketSession {
public:
    struct Callbacks {
        // Bytes for the peer.
        std::function<void(const char*, std::size_t)> write;
        // One complete binary message.
        std::function<void(const std::string&)> message;
        std::function<void()> opened;
        std::function<void()> closed;
    };

    static std::unique_ptr<WebSocketSession> connect(const std::string& uri, Callbacks);
    static std::unique_ptr<WebSocketSession> accept(Callbacks);
    virtual ~WebSocketSession();

    // Bytes from the peer.
    virtual void receive(const char*, std::size_t) = 0;
    // False when the session is not open.
    virtual bool send(const void*, std::size_t) = 0;
};

} // namespace ibisgw::adapters::detail
