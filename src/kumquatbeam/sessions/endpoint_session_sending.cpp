// Connects an endpoint session and sends its request; endpoint_session.cpp reads the answer.

#include "kumquatbeam/sessions/connect.hpp"
#include "kumquatbeam/sessions/endpoint_session_handler.hpp"

#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>

namespace kumquatbeam {

namespace beast = boost::beast;
namespace http = boost::beast::http;

void endpoint_session::start()
{
    m_request = m_delegate.dialect().encode(m_attempt, m_streamId);
    m_connection = m_delegate.takeConnection(m_attempt);
    if (m_connection) {
        armTimeout(m_attempt.deadline);
        send();
    } else {
        connect();
    }
}

void endpoint_session::connect()
{
    m_connection = std::make_shared<endpoint_connection>(m_context, m_attempt.to);
    const auto remote
        = openClientSocket(m_connection->socket, m_delegate.sourceAddress(), m_attempt.to.address, m_attempt.to.port);
    if (!remote) {
        finishFailed(failure_kind::EndpointUnreachable);
        return;
    }
    armTimeout(std::min(m_attempt.deadline, m_startedAt + connectTimeout));
    m_connection->socket.async_connect(*remote, handlerOf(&endpoint_session::onConnected));
}

void endpoint_session::onConnected(beast::error_code error)
{
    if (hasEnded())
        return;
    if (error) {
        finishFailed(classifyError(error));
        return;
    }
    // Bytes that arrive before the request is sent cannot answer it; they may belong to a call of an earlier
    // connection.
    if (hasUnexpectedInput(m_connection->socket)) {
        finishFailed(failure_kind::EndpointBroke);
        return;
    }
    setConnectionOptions(m_connection->socket, unacknowledgedTimeout);
    armTimeout(m_attempt.deadline);
    send();
}

void endpoint_session::send()
{
    // The process may have been paused since the decision, and the permission to send may have expired.
    const auto now = clock::now();
    if (now >= m_attempt.sendBefore || now >= m_attempt.deadline) {
        finishFailed(failure_kind::DeadlinePassed);
        return;
    }
    m_delegate.dialect().setRemainingTime(
        m_request, std::chrono::floor<std::chrono::milliseconds>(m_attempt.deadline - now));
    m_hasSent = true;
    // An endpoint may answer before it has read the whole request, so reading starts at once. A failed write shows up
    // as a failed read or, since the write consumes the socket's error, as a regular end of the connection.
    http::async_write(m_connection->socket, m_request, handlerOf(&endpoint_session::onRequestWritten));
    readHead();
}

void endpoint_session::onRequestWritten(beast::error_code error)
{
    m_isRequestWritten = !error;
}

} // namespace kumquatbeam
