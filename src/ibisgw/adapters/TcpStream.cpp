#include "ibisgw/adapters/TcpStream.h"

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/SocketAddress.h"

#include <h2o.h>

namespace ibisgw::adapters {

namespace {

// Largest output that is buffered for a slow peer; larger than one snapshot of the configuration.
constexpr std::size_t maxQueuedBytes = std::size_t { 8 } * 1024 * 1024;

} // namespace

TcpStream::TcpStream(Callbacks callbacks)
    : m_callbacks(std::move(callbacks))
{
}

TcpStream::~TcpStream()
{
    if (m_socket)
        h2o_socket_close(m_socket);
}

std::unique_ptr<TcpStream> TcpStream::connect(EventLoop& loop, core::Endpoint target, Callbacks callbacks)
{
    auto address = toSocketAddress(target);
    std::unique_ptr<TcpStream> stream(new TcpStream(std::move(callbacks)));
    auto* socket = h2o_socket_connect(
        loop.nativeLoop(), reinterpret_cast<sockaddr*>(&address), sizeof address, TcpStream::onConnected);
    if (!socket)
        return nullptr;
    stream->attach(socket);
    return stream;
}

std::unique_ptr<TcpStream> TcpStream::adopt(st_h2o_socket_t* socket, Callbacks callbacks)
{
    std::unique_ptr<TcpStream> stream(new TcpStream(std::move(callbacks)));
    stream->attach(socket);
    stream->m_isConnected = true;
    h2o_socket_read_start(socket, TcpStream::onReadable);
    return stream;
}

void TcpStream::attach(st_h2o_socket_t* socket)
{
    m_socket = socket;
    m_socket->data = this;
}

void TcpStream::onConnected(st_h2o_socket_t* socket, const char* error)
{
    auto* stream = static_cast<TcpStream*>(socket->data);
    if (error) {
        stream->close();
        return;
    }
    stream->m_isConnected = true;
    h2o_socket_read_start(socket, TcpStream::onReadable);
    stream->flush();
    stream->m_callbacks.connected();
}

void TcpStream::onReadable(st_h2o_socket_t* socket, const char* error)
{
    auto* stream = static_cast<TcpStream*>(socket->data);
    if (error) {
        stream->close();
        return;
    }
    // The input is copied before the callback, which may destroy the stream.
    const std::string data(socket->input->bytes, socket->input->size);
    h2o_buffer_consume(&socket->input, socket->input->size);
    stream->m_callbacks.received(data.data(), data.size());
}

void TcpStream::onWritten(st_h2o_socket_t* socket, const char* error)
{
    auto* stream = static_cast<TcpStream*>(socket->data);
    stream->m_outputInFlight.clear();
    if (error)
        stream->close();
    else
        stream->flush();
}

void TcpStream::write(const char* data, std::size_t n)
{
    if (!m_socket)
        return;
    if (m_queuedOutput.size() + n > maxQueuedBytes) {
        close();
        return;
    }
    m_queuedOutput.append(data, n);
    flush();
}

void TcpStream::flush()
{
    if (!m_isConnected || !m_outputInFlight.empty() || m_queuedOutput.empty())
        return;
    m_outputInFlight.swap(m_queuedOutput);
    h2o_iovec_t buf { m_outputInFlight.data(), m_outputInFlight.size() };
    h2o_socket_write(m_socket, &buf, 1, TcpStream::onWritten);
}

void TcpStream::close()
{
    if (!m_socket)
        return;
    h2o_socket_close(m_socket);
    m_socket = nullptr;
    m_isConnected = false;
    const auto closed = m_callbacks.closed;
    closed();
}

} // namespace ibisgw::adapters
