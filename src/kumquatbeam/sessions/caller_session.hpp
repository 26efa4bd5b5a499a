#pragma once

#include "kumquatbeam/codec/caller_dialect.hpp"
#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/time.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace kumquatbeam {

class caller_session;

/// What a caller session needs from the duty that it runs on.
class caller_session_delegate {
public:
    virtual ~caller_session_delegate() = default;

    /// Gives the session's request an id under which commands will find it; nothing when too many are in progress.
    virtual std::optional<request_id> registerRequest(std::shared_ptr<caller_session>) = 0;

    /// Forgets a request; commands for it are dropped from now on.
    virtual void unregisterRequest(request_id) = 0;

    /// Hands a request to the decisions; false when their ring is full.
    virtual bool submit(request_id, call_request) = 0;

    /// Tells the decisions that the caller has left.
    virtual void abandon(request_id) = 0;

    /// Tells the endpoint session that a piece has gone out.
    virtual void acknowledgeChunk(request_id) = 0;

    /// The connection has been closed; called once.
    virtual void onConnectionClosed(caller_session&) = 0;

    virtual bool isReady() const = 0;

    /// Whether connections end with their next reply.
    virtual bool isDraining() const = 0;

    /// Whether so many connections are open that new callers will soon find no room. Replies close theirs then.
    virtual bool isNearCallerLimit() const = 0;

    /// The time after which bytes that are read now have arrived; the times left that they state count from it.
    virtual time_point earliestArrival() = 0;

    virtual const caller_dialect& dialect() const = 0;

    virtual const caller_limits& limits() const = 0;
};

/// One caller's connection: reads a request, waits for its reply, writes it, reads the next.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(boost::asio::ip::tcp::socket, caller_session_delegate&);

    void start();

    /// @{ Commands for the request that is in progress.
    void deliver(const reply_to_caller&);
    void deliver(const answer_head&);
    void deliver(answer_chunk);
    void deliver(const answer_end&);
    /// @}

    /// Closes the connection unless a request is being read, in progress or being answered.
    void closeIfIdle();

private:
    /// What is to be written next, and how.
    struct outgoing {
        enum class framing {
            Plain,
            Chunk,
            LastChunk,
        };
        framing as = framing::Plain;
        std::string bytes {};
    };

    void readRequest();
    void onFirstBytes(boost::beast::error_code);
    void onHeader(boost::beast::error_code);
    void sendContinue();
    void readBody();
    void onRead(boost::beast::error_code);
    void refuse(boost::beast::error_code);
    void handleRequest();
    void watchForDisconnect();
    bool readPipelined();
    void abandonRequest();
    void writeReply(const call_reply&, bool keepAlive);
    void enqueue(outgoing);
    void writeNext();
    void onWritten(boost::beast::error_code);
    void finishRequest();
    void discardRest();
    void closeConnection();

    caller_session_delegate& m_delegate;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::optional<request_id> m_request;
    std::deque<outgoing> m_outgoing;
    unsigned m_httpVersion = 11;
    bool m_keepAlive = false;
    bool m_hasSentHead = false;
    bool m_isReplyQueued = false;
    bool m_hasUnreadInput = false;
    bool m_isReading = false;
    bool m_isClosed = false;
    time_point m_discardUntil = never;
};

} // namespace kumquatbeam
