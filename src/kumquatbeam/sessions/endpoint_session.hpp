#pragma once

#include "kumquatbeam/codec/endpoint_dialect.hpp"
#include "kumquatbeam/codec/event_framer.hpp"
#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/controllers/decision_event.hpp"
#include "kumquatbeam/runtime/deadline_timer.hpp"
#include "kumquatbeam/sessions/block_buffer.hpp"
#include "kumquatbeam/sessions/endpoint_connection.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Interface of the duty that an endpoint session runs on.
class endpoint_session_delegate {
public:
    virtual ~endpoint_session_delegate() = default;

    virtual const endpoint_dialect& dialect() const = 0;
    virtual void relay(caller_command) = 0;
    virtual void finish(attempt_ended) = 0;

    /// Reports what the endpoint says about itself, as soon as the head of its answer has arrived.
    virtual void notice(endpoint_noticed) = 0;

    virtual std::string streamIdOf(request_id) const = 0;
    virtual std::uint64_t bodyLimit() const = 0;
    virtual const std::string& sourceAddress() const = 0;

    /// Records how much of the answer to a call is held; zero when nothing of it is held any more. May give up this
    /// attempt or another one.
    virtual void recordHeldBytes(request_id, byte_count) = 0;

    /// Takes a pooled connection to the attempt's endpoint, or null.
    virtual std::shared_ptr<endpoint_connection> takeConnection(const start_attempt&) = 0;

    /// Puts a connection back into the pool after a complete answer.
    virtual void keepConnection(std::shared_ptr<endpoint_connection>, const keep_alive_policy&) = 0;
};

/// One attempt at a call: obtains a connection, sends the request, and relays or buffers the answer.
///
/// The outcome is reported as soon as it is known. After a refusal, the session goes on for a moment to read the rest
/// of the answer, so that the connection can be used again.
class endpoint_session : public std::enable_shared_from_this<endpoint_session> {
public:
    /// Name in logs.
    static constexpr std::string_view partName = "endpoint-session";

    endpoint_session(boost::asio::io_context&, endpoint_session_delegate&, start_attempt);

    void start();

    /// Cancels the attempt and resets its connection, which informs the endpoint.
    void cancel();

    /// Ends the attempt, since the router cannot hold its answer.
    void giveUpAnswer();

    /// Whether no byte of the attempt was sent.
    bool isUnsent() const { return !m_hasSent; }

    /// Ends an unsent attempt, since its endpoint takes no more calls.
    void withdraw();

    const endpoint_address& endpoint() const { return m_attempt.to; }

    /// Continues reading after the caller session has written the last chunk.
    void onChunkConsumed();

    /// Ends the attempt after an unexpected error in a handler.
    void endUnexpectedly();

private:
    static constexpr std::size_t chunkSize = 8 * 1024;

    /// Connect timeout: a few round trips and a retransmission on the networks of one region.
    static constexpr std::chrono::milliseconds connectTimeout { 500 };

    /// Longest time that sent bytes may stay unacknowledged: half a dozen retransmissions on such networks.
    static constexpr std::chrono::milliseconds unacknowledgedTimeout { 2000 };

    /// Maximum number of interim answers (1xx) and answers to other calls before the answer itself.
    static constexpr int skippedAnswerLimit = 8;

    /// Largest event of a stream, in bytes. Every stream of an endpoint may hold one at the same time.
    static constexpr std::size_t eventSizeLimit = 128 * 1024;

    /// @{ Limits of the body of a refusal or of another call's answer, which is read only to reach the next answer.
    static constexpr std::size_t discardLimit = 256 * 1024;
    static constexpr std::chrono::milliseconds discardTimeout { 500 };
    /// @}

    using answer_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /// A completion handler that calls the member function.
    template <typename Step> auto handlerOf(Step);

    void connect();
    void onConnected(boost::beast::error_code);
    void send();
    void onRequestWritten(boost::beast::error_code);
    void armTimeout(time_point);
    void onTimeout();
    void readHead();
    void onHead(boost::beast::error_code);
    void handleHead();
    void reportNotice();
    /// Whether nothing has been received on the connection before the answer being read.
    bool isFirstAnswer() const;
    void skipUnrelatedAnswer();
    void handleRefusal(failure_kind);
    void relayHead();
    void continueReading();
    void readChunk();
    void onChunk(boost::beast::error_code);
    void discard(std::size_t size);
    void recordHeldBytes();
    void handleChunk(std::string_view bytes);
    void handleEvents(std::string_view bytes);
    void relayChunk(std::string bytes);
    void finishCompleted();
    void finishFailed(failure_kind);
    void report(attempt_outcome, std::optional<failure>);
    /// Puts the connection back into the pool if it can carry another call, else closes it; resets it unless the answer
    /// is complete. Ends the session.
    void releaseConnection(bool isComplete);
    bool hasEnded() const { return !m_connection; }
    failure_kind classifyError(boost::beast::error_code) const;
    bool isRelayed() const { return m_delivery != answer_delivery::Buffered; }

    endpoint_session_delegate& m_delegate;
    boost::asio::io_context& m_context;
    start_attempt m_attempt;
    std::string m_streamId;
    /// How the answer is delivered. Instead of an event stream, an endpoint may send an answer of another kind; it is
    /// buffered, since it cannot continue a stream, and another endpoint may be tried after a failure.
    answer_delivery m_delivery;
    /// Null once the session has ended.
    std::shared_ptr<endpoint_connection> m_connection;
    deadline_timer m_timeoutTimer;
    http_request m_request;
    std::optional<answer_parser> m_parser;
    event_framer m_events;
    std::array<char, chunkSize> m_chunk;
    block_buffer m_bufferedBody;
    /// What the delegate knows to be held of the answer.
    byte_count m_heldBytes;
    byte_count m_relayedBytes;
    time_point m_startedAt;
    int m_skippedAnswers = 0;
    /// Whether a final answer that is not this call's was skipped.
    bool m_hasSkippedAnswer = false;
    bool m_hasSent = false;
    /// Whether the whole request was written.
    bool m_isRequestWritten = false;
    /// Whether the body being read belongs to another call or to a refusal.
    bool m_isDiscarding = false;
    std::size_t m_discardedBytes = 0;
    bool m_hasRelayedHead = false;
    /// Whether a relayed chunk is not acknowledged yet; no more is read until it is.
    bool m_isChunkUnacknowledged = false;
    bool m_isTimedOut = false;
    /// Whether the outcome was reported.
    bool m_isReported = false;
};

} // namespace kumquatbeam
