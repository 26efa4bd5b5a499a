#pragma once

#include "kumquatbeam/codec/endpoint_dialect.hpp"
#include "kumquatbeam/codec/event_framer.hpp"
#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/controllers/decision_event.hpp"
#include "kumquatbeam/runtime/deadline_timer.hpp"
#include "kumquatbeam/sessions/endpoint_connection.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace kumquatbeam {

/// What an endpoint session needs from the duty that it runs on.
class endpoint_session_delegate {
public:
    virtual ~endpoint_session_delegate() = default;

    virtual const endpoint_dialect& dialect() const = 0;
    virtual void relay(caller_command) = 0;
    virtual void finish(attempt_ended) = 0;
    virtual std::string streamIdOf(request_id) const = 0;
    virtual std::uint64_t bodyLimit() const = 0;
    virtual const std::string& sourceAddress() const = 0;

    /// A kept connection to the endpoint that serves the attempt, or null.
    virtual std::shared_ptr<endpoint_connection> takeConnection(const start_attempt&) = 0;

    /// Keeps a connection whose answer has ended.
    virtual void keepConnection(std::shared_ptr<endpoint_connection>, const keep_alive_policy&) = 0;
};

/// One attempt at one call: takes or makes a connection, sends, and hands the answer on or keeps it whole.
class endpoint_session : public std::enable_shared_from_this<endpoint_session> {
public:
    endpoint_session(boost::asio::io_context&, endpoint_session_delegate&, start_attempt);

    void start();

    /// Gives the attempt up; closing the connection tells the endpoint.
    void cancel();

    /// Reads on after the caller session has passed on the last piece.
    void onChunkConsumed();

private:
    static constexpr std::size_t chunkSize = 8 * 1024;

    /// Longest time for a connection to be made. A few round trips and a retransmission on the networks of one region.
    static constexpr std::chrono::milliseconds connectTimeout { 500 };

    /// Longest time for which sent bytes may stay unacknowledged: half a dozen retransmissions on such networks.
    static constexpr std::chrono::milliseconds unacknowledgedTimeout { 2000 };

    /// Interim answers (1xx), and answers to other calls, that an endpoint may send before its answer.
    static constexpr int skippedAnswerLimit = 8;

    /// Largest event of a stream.
    static constexpr std::size_t eventSizeLimit = 1024 * 1024;

    using answer_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void connect();
    void onConnected(boost::beast::error_code);
    void send();
    void armTimeout(time_point);
    void readHead();
    void onHead(boost::beast::error_code);
    void handleHead();
    void skipUnrelatedAnswer();
    void skipRefusal(failure_kind);
    void relayHead();
    void continueReading();
    void readChunk();
    void onChunk(boost::beast::error_code);
    void handleChunk(std::string_view bytes);
    void handleEvents(std::string_view bytes);
    void relayChunk(std::string bytes);
    void finishCompleted();
    void finishFailed(failure_kind);
    void finish(attempt_outcome, std::optional<failure>);
    void releaseConnection(bool isComplete);
    failure_kind classifyError(boost::beast::error_code) const;
    bool isRelayed() const { return m_delivery != answer_delivery::Buffered; }

    endpoint_session_delegate& m_delegate;
    boost::asio::io_context& m_context;
    start_attempt m_attempt;
    std::string m_streamId;
    /// How the answer goes on; an answer that reports a failure is kept, so that another endpoint may be tried.
    answer_delivery m_delivery;
    std::shared_ptr<endpoint_connection> m_connection;
    deadline_timer m_timeoutTimer;
    http_request m_request;
    std::optional<answer_parser> m_parser;
    event_framer m_events;
    std::array<char, chunkSize> m_chunk;
    std::string m_bufferedBody;
    byte_count m_relayedBytes;
    time_point m_startedAt;
    int m_skippedAnswers = 0;
    bool m_hasSent = false;
    /// Whether the whole request has been written.
    bool m_isRequestWritten = false;
    /// Whether the body that is being read belongs to another call, or to a refusal.
    bool m_isSkipping = false;
    /// Set once the endpoint has said that it does not run the call.
    std::optional<failure_kind> m_refusal;
    bool m_hasRelayedHead = false;
    /// Whether a relayed piece has not been acknowledged yet.
    bool m_isChunkUnacknowledged = false;
    bool m_isTimedOut = false;
    bool m_isFinished = false;
};

} // namespace kumquatbeam
