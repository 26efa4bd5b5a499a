#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kumquatbeam::testing {

/// What a scripted server sends on each connection once the first bytes of a request have arrived.
struct server_script {
    /// Sent once.
    std::string opening {};
    /// Sent again and again until the other side closes; empty for none.
    std::string repeated {};
    /// Pause before each repetition.
    std::chrono::milliseconds pause { 0 };
    /// Sent once after the first repetition that follows this pause; empty for none.
    std::string ending {};
    /// Whether the connection is reset after the opening.
    bool resets = false;
    /// Whether the server sends before it has read anything.
    bool speaksFirst = false;
    /// Whether the server reads what arrives; otherwise the other side's writes block.
    bool reads = true;
    /// Whether the server reads only once on each connection, so that a long request is never read whole.
    bool readsOnce = false;
    /// Whether the server closes the connection after the opening. The kernel resets it if a part of the request is
    /// unread.
    bool closes = false;
    /// Whether the server ends its direction of the connection after the opening, and keeps the other one.
    bool endsSending = false;
    /// Pause between the opening and the end of the connection or of its direction.
    std::chrono::milliseconds endPause { 0 };
};

/// A server on loopback that runs on the test's I/O context and follows a script. It counts what it has seen.
class scripted_server {
public:
    scripted_server(boost::asio::io_context& context, server_script script)
        : m_script(std::make_shared<server_script>(std::move(script)))
        , m_counts(std::make_shared<counts>())
        , m_acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
    {
        accept();
    }

    /// Follows another script on connections that are accepted from now on.
    void setScript(server_script script) { m_script = std::make_shared<server_script>(std::move(script)); }

    /// Follows another script on the connections accepted so far, from their next request on.
    void followOnNextRequest(server_script script)
    {
        const auto next = std::make_shared<server_script>(std::move(script));
        for (const auto& accepted : m_connections)
            accepted->follow(next);
    }

    /// Sends these bytes instead of the opening for the next request on a connection accepted so far.
    void sendOnNextRequest(const std::string& bytes)
    {
        for (const auto& accepted : m_connections)
            accepted->sendOnNextRequest(bytes);
    }

    /// Leaves what arrives on the connections accepted so far unanswered.
    void silence()
    {
        for (const auto& accepted : m_connections)
            accepted->silence();
    }

    std::int64_t port() const { return m_acceptor.local_endpoint().port(); }
    std::size_t connections() const { return m_counts->connections; }
    std::size_t closedConnections() const { return m_counts->closed; }
    /// Connections that the other side has reset.
    std::size_t resets() const { return m_counts->resets; }
    std::size_t requests() const { return m_counts->requests; }
    std::size_t sentBytes() const { return m_counts->sentBytes; }

private:
    struct counts {
        std::size_t connections = 0;
        std::size_t closed = 0;
        std::size_t resets = 0;
        std::size_t requests = 0;
        std::size_t sentBytes = 0;
    };

    class connection : public std::enable_shared_from_this<connection> {
    public:
        connection(
            boost::asio::ip::tcp::socket socket, std::shared_ptr<server_script> script, std::shared_ptr<counts> seen)
            : m_socket(std::move(socket))
            , m_pause(m_socket.get_executor())
            , m_script(std::move(script))
            , m_counts(std::move(seen))
        {
        }

        void start()
        {
            if (m_script->speaksFirst)
                open();
            if (m_script->reads)
                read();
        }

        void silence() { m_isSilent = true; }

        void follow(std::shared_ptr<server_script> script) { m_script = std::move(script); }

        void sendOnNextRequest(std::string bytes) { m_nextOpening = std::move(bytes); }

    private:
        void read()
        {
            m_socket.async_read_some(
                boost::asio::buffer(m_input), [self = shared_from_this()](auto error, std::size_t size) {
                    if (error) {
                        self->m_counts->resets += error == boost::asio::error::connection_reset ? 1 : 0;
                        self->close();
                        return;
                    }
                    const std::string_view bytes(self->m_input.data(), size);
                    const bool endsRequest = bytes.find("\r\n\r\n") != std::string_view::npos;
                    self->m_counts->requests += endsRequest ? 1 : 0;
                    if (endsRequest && !self->m_script->speaksFirst && !self->m_isSilent)
                        self->open();
                    if (!self->m_script->readsOnce)
                        self->read();
                });
        }

        void open()
        {
            if (m_nextOpening) {
                send(*m_nextOpening, [] {});
                return;
            }
            send(m_script->opening, [this] {
                if (m_script->resets || m_script->closes || m_script->endsSending)
                    scheduleEnd();
                else
                    scheduleRepetition();
            });
        }

        void scheduleEnd()
        {
            if (m_script->endPause.count() == 0) {
                end();
                return;
            }
            m_pause.expires_after(m_script->endPause);
            m_pause.async_wait([self = shared_from_this()](auto error) {
                if (!error && !self->m_isClosed)
                    self->end();
            });
        }

        void end()
        {
            boost::system::error_code ignored;
            if (m_script->endsSending) {
                m_socket.shutdown(boost::asio::socket_base::shutdown_send, ignored);
                return;
            }
            if (m_script->resets)
                m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            close();
        }

        void scheduleRepetition()
        {
            if (m_script->repeated.empty() && m_script->ending.empty())
                return;
            m_pause.expires_after(m_script->pause);
            m_pause.async_wait([self = shared_from_this()](auto error) {
                if (!error && !self->m_isClosed)
                    self->repeat();
            });
        }

        void repeat()
        {
            if (!m_script->ending.empty()) {
                send(m_script->ending, [] {});
                return;
            }
            send(m_script->repeated, [this] { scheduleRepetition(); });
        }

        template <typename Next> void send(const std::string& bytes, Next next)
        {
            boost::asio::async_write(
                m_socket, boost::asio::buffer(bytes), [self = shared_from_this(), next](auto error, std::size_t size) {
                    self->m_counts->sentBytes += size;
                    if (error)
                        self->close();
                    else
                        next();
                });
        }

        void close()
        {
            if (std::exchange(m_isClosed, true))
                return;
            ++m_counts->closed;
            boost::system::error_code ignored;
            m_socket.close(ignored);
            m_pause.cancel();
        }

        boost::asio::ip::tcp::socket m_socket;
        boost::asio::steady_timer m_pause;
        std::shared_ptr<server_script> m_script;
        std::shared_ptr<counts> m_counts;
        std::array<char, 64 * 1024> m_input {};
        bool m_isClosed = false;
        bool m_isSilent = false;
        std::optional<std::string> m_nextOpening;
    };

    void accept()
    {
        m_acceptor.async_accept([this](auto error, boost::asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++m_counts->connections;
            m_connections.push_back(std::make_shared<connection>(std::move(socket), m_script, m_counts));
            m_connections.back()->start();
            accept();
        });
    }

    std::shared_ptr<server_script> m_script;
    std::shared_ptr<counts> m_counts;
    boost::asio::ip::tcp::acceptor m_acceptor;
    /// Kept, since a connection that neither reads nor sends has no pending operation that would keep it.
    std::vector<std::shared_ptr<connection>> m_connections;
};

/// Runs the context until the condition holds or the limit has passed. Returns whether it holds.
template <typename Condition>
bool runUntil(boost::asio::io_context& context, Condition condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_until(end);
    }
    return condition();
}

} // namespace kumquatbeam::testing
