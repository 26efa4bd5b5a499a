#pragma once

#include "scripted_server.hpp"

#include "kumquatbeam/sessions/caller_session.hpp"
#include "platform/platform_caller_dialect.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace kumquatbeam::testing {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Time within which a request without end is given up.
inline constexpr auto limit = 3s;

inline const std::string requestHead = "POST /q/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: call\r\n";
inline const std::string kilobyte(1024, 'x');

/// The duty of the caller sessions under test: accepts connections, and records requests and disconnects.
class recording_callers final : public caller_session_delegate {
public:
    explicit recording_callers(asio::io_context& context)
        : m_acceptor(context, { asio::ip::address_v4::loopback(), 0 })
    {
        m_limits.idleTimeout = 1s;
        m_limits.headerTimeout = 1s;
        accept();
    }

    std::optional<request_id> registerRequest(std::shared_ptr<caller_session> session) override
    {
        const request_id id { ++m_lastRequest };
        sessions.emplace(id, std::move(session));
        return id;
    }
    void unregisterRequest(request_id id) override { sessions.erase(id); }
    bool submit(request_id, call_request call) override
    {
        if (throwsOnSubmit)
            throw std::runtime_error("no decision");
        requests.push_back(std::move(call));
        return true;
    }
    void abandon(request_id) override { ++abandoned; }
    void acknowledgeChunk(request_id) override { ++acknowledged; }
    void recordHeldBytes(caller_session& session, byte_count fixedBytes, byte_count droppableBytes) override
    {
        lastRecorded = &session;
        fixed = fixedBytes;
        droppable = droppableBytes;
        mostDroppable = std::max(mostDroppable, droppable);
    }
    bool canPassOn(byte_count) override { return hasMemory; }
    void recordWaiting(caller_session& session, bool isWaiting) override
    {
        if (isWaiting)
            lastWaiting = &session;
    }
    void onConnectionClosed(caller_session&) override { ++closed; }
    bool isReady() const override { return true; }
    bool isDraining() const override { return false; }
    bool isNearCallerLimit() const override { return false; }
    arrival_bounds arrival() override { return { clock::now(), clock::now() }; }
    const caller_dialect& dialect() const override { return m_dialect; }
    const caller_limits& limits() const override { return m_limits; }

    void setLimits(const caller_limits& changed) { m_limits = changed; }

    asio::ip::tcp::endpoint address() const { return m_acceptor.local_endpoint(); }

    std::map<request_id, std::shared_ptr<caller_session>> sessions;
    std::vector<call_request> requests;
    bool throwsOnSubmit = false;
    bool hasMemory = true;
    caller_session* lastRecorded = nullptr;
    caller_session* lastWaiting = nullptr;
    byte_count fixed {};
    byte_count droppable {};
    byte_count mostDroppable {};
    int abandoned = 0;
    int acknowledged = 0;
    int closed = 0;

private:
    void accept()
    {
        m_acceptor.async_accept([this](auto error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            std::make_shared<caller_session>(std::move(socket), *this)->start();
            accept();
        });
    }

    platform::platform_caller_dialect m_dialect;
    caller_limits m_limits;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint64_t m_lastRequest = 0;
};

/// A caller that sends an opening, then more of the same until the router closes, and keeps what it receives.
class scripted_caller : public std::enable_shared_from_this<scripted_caller> {
public:
    explicit scripted_caller(asio::io_context& context)
        : m_socket(context)
    {
    }

    void start(const asio::ip::tcp::endpoint& router, std::string opening, std::string repeated, bool reads = true)
    {
        m_repeated = std::move(repeated);
        m_socket.connect(router);
        if (reads)
            read();
        send(std::move(opening));
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        isClosed = true;
    }

    void send(std::string bytes)
    {
        m_output = std::move(bytes);
        asio::async_write(m_socket, asio::buffer(m_output), [self = shared_from_this()](auto error, std::size_t size) {
            self->sentBytes += size;
            if (!error && !self->m_repeated.empty())
                self->send(self->m_repeated);
        });
    }

    /// Sends without the event loop.
    void sendNow(const std::string& bytes) { asio::write(m_socket, asio::buffer(bytes)); }

    std::string received;
    std::size_t sentBytes = 0;
    bool isClosed = false;

private:
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_input), [self = shared_from_this()](auto error, std::size_t size) {
            if (error) {
                self->close();
                return;
            }
            self->received.append(self->m_input.data(), size);
            self->read();
        });
    }

    asio::ip::tcp::socket m_socket;
    std::string m_output;
    std::string m_repeated;
    std::array<char, 64 * 1024> m_input {};
};

struct caller_fixture {
    std::shared_ptr<scripted_caller> call(std::string opening, std::string repeated = {}, bool reads = true)
    {
        auto caller = std::make_shared<scripted_caller>(context);
        caller->start(duty.address(), std::move(opening), std::move(repeated), reads);
        return caller;
    }

    template <typename Condition> bool until(Condition condition) { return runUntil(context, condition, limit); }

    asio::io_context context;
    recording_callers duty { context };
};

} // namespace kumquatbeam::testing
