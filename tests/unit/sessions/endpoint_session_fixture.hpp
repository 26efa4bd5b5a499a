#pragma once

#include "scripted_server.hpp"

#include "kumquatbeam/sessions/connection_pool.hpp"
#include "kumquatbeam/sessions/endpoint_session.hpp"
#include "platform/platform_endpoint_dialect.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatbeam::testing {

/// The duty of an endpoint session under test: keeps connections, and records what the session reports.
class recording_endpoints final : public endpoint_session_delegate {
public:
    const endpoint_dialect& dialect() const override { return *m_dialect; }
    void relay(caller_command command) override { relayed.push_back(std::move(command)); }
    void finish(attempt_ended ended) override { outcomes.push_back(std::move(ended)); }
    void notice(endpoint_noticed noticed) override { notices.push_back(std::move(noticed)); }
    std::string streamIdOf(request_id) const override { return "stream"; }
    std::uint64_t bodyLimit() const override { return 1024 * 1024; }
    const std::string& sourceAddress() const override { return m_source; }
    void recordHeldBytes(request_id, byte_count held) override
    {
        heldBytes = held;
        largestHeldBytes = std::max(largestHeldBytes, held);
        const auto session = isMemoryShort && held.value > 0 ? lastSession.lock() : nullptr;
        if (session)
            session->giveUpAnswer();
    }
    std::shared_ptr<endpoint_connection> takeConnection(const start_attempt& attempt) override
    {
        return pool.take(attempt.to, attempt.needsFreshConnection, clock::now());
    }
    void keepConnection(std::shared_ptr<endpoint_connection> connection, const keep_alive_policy& policy) override
    {
        pool.put(std::move(connection), policy.idleTimeout, clock::now());
    }

    /// Uses another dialect than the platform's.
    void setDialect(std::shared_ptr<const endpoint_dialect> dialect) { m_dialect = std::move(dialect); }

    std::vector<caller_command> relayed;
    std::vector<attempt_ended> outcomes;
    std::vector<endpoint_noticed> notices;
    byte_count heldBytes {};
    byte_count largestHeldBytes {};
    connection_pool pool;
    /// Whether the last session that was started may hold nothing of its answer.
    bool isMemoryShort = false;
    std::weak_ptr<endpoint_session> lastSession;

private:
    std::shared_ptr<const endpoint_dialect> m_dialect = std::make_shared<platform::platform_endpoint_dialect>();
    std::string m_source;
};

/// An endpoint session and the scripted endpoint that it calls.
class endpoint_session_fixture {
public:
    explicit endpoint_session_fixture(server_script script)
        : server(context, std::move(script))
    {
    }

    /// An attempt at the call with the id `call`.
    start_attempt attempt(
        std::chrono::milliseconds deadline, answer_delivery delivery = answer_delivery::Buffered) const
    {
        call_request call;
        call.callerRequestId = { "call" };
        call.method = "POST";
        call.target = "/q/1";
        call.authority = "desk.example";
        call.fields = { { "Attempt-Id", "call" } };
        return { .id = { 1 },
            .to = { { "engine" }, "127.0.0.1", server.port() },
            .call = std::make_shared<const call_request>(std::move(call)),
            .deadline = clock::now() + deadline,
            .delivery = delivery };
    }

    std::shared_ptr<endpoint_session> start(start_attempt attempt)
    {
        auto session = std::make_shared<endpoint_session>(context, duty, std::move(attempt));
        duty.lastSession = session;
        session->start();
        return session;
    }

    /// Runs until the session has reported its outcome; nothing if it doesn't within the limit.
    std::optional<attempt_ended> outcome(std::chrono::milliseconds limit)
    {
        if (!runUntil(
                context, [this] { return !duty.outcomes.empty(); }, limit))
            return std::nullopt;
        return duty.outcomes.front();
    }

    /// Runs until the endpoint has seen its connections close.
    bool isClosed(std::chrono::milliseconds limit)
    {
        return runUntil(
            context, [this] { return server.closedConnections() == server.connections(); }, limit);
    }

    boost::asio::io_context context;
    recording_endpoints duty;
    scripted_server server;
};

} // namespace kumquatbeam::testing
