#pragma once

#include "kumquatbeam/codec/http_call.hpp"
#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/controllers/decision_event.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace kumquatbeam {

/// What an endpoint session needs from the duty that it runs on.
class endpoint_host {
public:
    virtual ~endpoint_host() = default;

    virtual void relay(caller_command) = 0;
    virtual void finish(attempt_ended) = 0;
    virtual std::string streamIdOf(request_id) const = 0;
    virtual std::uint64_t bodyLimit() const = 0;
    virtual const std::string& sourceAddress() const = 0;
};

/// One attempt at one call: connects, sends, and hands the answer on piece by piece or keeps it whole.
class endpoint_session : public std::enable_shared_from_this<endpoint_session> {
public:
    endpoint_session(boost::asio::io_context&, endpoint_host&, start_attempt);

    void start();

    /// Gives the attempt up; closing the connection tells the endpoint.
    void cancel();

    /// Reads on after the caller session has passed on the last piece.
    void pieceConsumed();

private:
    static constexpr std::size_t pieceSize = 16 * 1024;
    static constexpr unsigned firstFinalStatus = 200;

    /// Interim answers (1xx) that an endpoint may send before its answer.
    static constexpr int interimLimit = 8;

    void onConnected(boost::beast::error_code);
    void onSent(boost::beast::error_code);
    void readHead();
    void onHead(boost::beast::error_code);
    std::optional<failure_kind> faultOfHead() const;
    void relayHead();
    void readOn();
    void readPiece();
    void onPiece(boost::beast::error_code, std::size_t);
    void finishWhole();
    void finishBroken(failure_kind);
    void finish(attempt_outcome, std::optional<failure>);
    failure_kind failureAfter(boost::beast::error_code) const;

    endpoint_host& m_host;
    start_attempt m_attempt;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    http_request m_request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
    std::array<char, pieceSize> m_piece;
    std::string m_kept;
    byte_count m_relayed;
    time_point m_startedAt;
    int m_interimAnswers = 0;
    bool m_hasSent = false;
    bool m_hasHeadGone = false;
    /// Whether a relayed piece has not been acknowledged yet.
    bool m_isPieceOut = false;
    bool m_isFinished = false;
};

} // namespace kumquatbeam
