#pragma once

#include "kumquatbeam/codec/caller_dialect.hpp"
#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/runtime/containment.hpp"
#include "kumquatbeam/runtime/deadline_timer.hpp"
#include "kumquatbeam/sessions/block_body.hpp"
#include "kumquatbeam/sessions/message_buffer.hpp"
#include "kumquatbeam/sessions/write_queue.hpp"
#include "kumquatbeam/types/arrival_bounds.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/time.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatbeam {

class caller_session;

/// Interface of the duty that a caller session runs on.
class caller_session_delegate {
public:
    virtual ~caller_session_delegate() = default;

    /// Registers the session's request and returns the id that commands refer to; nothing when too many are in
    /// progress.
    virtual std::optional<request_id> registerRequest(std::shared_ptr<caller_session>) = 0;

    /// Removes a request; later commands for it are dropped.
    virtual void unregisterRequest(request_id) = 0;

    /// Passes a request to the decisions duty. Returns false when the duty's ring is full or this duty is overloaded.
    virtual bool submit(request_id, call_request) = 0;

    /// Reports to the decisions duty that the caller disconnected.
    virtual void abandon(request_id) = 0;

    /// Reports to the endpoint session that a chunk was written to the caller.
    virtual void acknowledgeChunk(request_id) = 0;

    /// Records the memory that the session holds now: `fixed` for a request that was passed on, `droppable` for what is
    /// freed if the session is dropped. May call `dropForMemory`, also of this session.
    virtual void recordHeldBytes(caller_session&, byte_count fixed, byte_count droppable) = 0;

    /// Whether the memory for requests suffices to pass on one that holds so many bytes until it has ended.
    virtual bool canPassOn(byte_count held) = 0;

    /// Records whether the connection waits for its caller: for a request, for the rest of one, or for a reply to be
    /// read. Repeated when the caller begins a request, since the wait begins anew then.
    virtual void recordWaiting(caller_session&, bool isWaiting) = 0;

    /// Called once, when the connection was closed.
    virtual void onConnectionClosed(caller_session&) = 0;

    virtual bool isReady() const = 0;

    /// Whether connections are closed after their next reply.
    virtual bool isDraining() const = 0;

    /// Whether the number of open connections is close to the limit. Connections are then closed after each reply.
    virtual bool isNearCallerLimit() const = 0;

    /// When bytes that are read now have arrived. Remaining times in a request count from it.
    virtual arrival_bounds arrival() = 0;

    virtual const caller_dialect& dialect() const = 0;

    virtual const caller_limits& limits() const = 0;
};

/// A caller's connection: reads a request, waits for its reply and writes it, then reads the next request.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    /// Name in logs.
    static constexpr std::string_view partName = "caller-session";

    caller_session(boost::asio::ip::tcp::socket, caller_session_delegate&);

    void start();

    /// @{ Commands for the request in progress.
    void deliver(const reply_to_caller&);
    void deliver(const answer_head&);
    void deliver(answer_chunk);
    void deliver(const answer_end&);
    /// @}

    /// Ends the request in progress with a reply, or with a truncated answer if part of one was already sent. A reply
    /// that is being written is completed.
    void endRequest(const call_reply&);

    /// Closes the connection unless a request is being read, is in progress or is being answered.
    void closeIfIdle();

    /// Ends what holds memory that can be freed: refuses a request that has not been read completely, and otherwise
    /// closes the connection.
    void dropForMemory();

    /// Closes the connection if it waits for its caller, so that another caller can connect. Returns whether it did.
    bool closeIfWaiting(time_point now);

    /// Closes the connection after an unexpected error in a handler.
    void endUnexpectedly();

private:
    /// A completion handler that calls the member function.
    template <typename Step> auto handlerOf(Step step)
    {
        return contained(shared_from_this(),
            [step](caller_session& self, boost::beast::error_code error, auto...) { (self.*step)(error); });
    }

    /// Whether bytes have arrived that were not read yet. A late event loop may handle a timer before them.
    bool hasUnreadBytes() const;

    void awaitRequest();
    void onReadableWhenIdle(boost::beast::error_code);
    void armIdleTimer();
    void onIdleTimer(boost::beast::error_code);
    void readRequest();
    void onHeader(boost::beast::error_code);
    void sendContinue();
    void onContinueSent(boost::beast::error_code);
    void readBody();
    void onBodyRead(boost::beast::error_code);
    void onRead(boost::beast::error_code);
    void refuseDropped();
    void refuse(const call_reply&);
    void handleRequest();
    void watchForDisconnect();
    void onReadable(request_id watched, boost::beast::error_code);
    bool readPipelined();
    void abandonRequest();
    void writeReply(const call_reply&, bool keepAlive);
    void enqueue(outgoing_bytes);
    void writeNext();
    void onWritten(boost::beast::error_code);
    void finishRequest();
    void beginWaiting();
    void recordHeldBytes();
    void discardRest();
    void onDiscardTimeout(boost::beast::error_code);
    void awaitDiscardable();
    void onDiscardable(boost::beast::error_code);
    void closeConnection();

    caller_session_delegate& m_delegate;
    boost::beast::tcp_stream m_stream;
    deadline_timer m_idleTimer;
    time_point m_idleSince {};
    boost::beast::flat_buffer m_buffer { messageBufferLimit };
    /// Empty until the first bytes of a request have arrived.
    std::optional<boost::beast::http::request_parser<block_body>> m_parser;
    std::optional<request_id> m_request;
    write_queue m_outgoing;
    /// Memory of the fields of the request that is being read.
    byte_count m_fieldBytes {};
    /// Memory of the request that was passed on.
    byte_count m_requestBytes {};
    time_point m_waitingSince {};
    unsigned m_httpVersion = 11;
    bool m_keepAlive = false;
    bool m_hasSentHead = false;
    bool m_isReplyQueued = false;
    bool m_hasUnreadInput = false;
    bool m_isReading = false;
    /// Whether the request that is being read must be refused for lack of memory.
    bool m_isDropped = false;
    bool m_isClosed = false;
    time_point m_discardUntil = never;
};

} // namespace kumquatbeam
