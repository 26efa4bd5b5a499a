#pragma once

#include "kumquatbeam/runtime/containment.hpp"
#include "kumquatbeam/sessions/endpoint_session.hpp"

namespace kumquatbeam {

template <typename Step> auto endpoint_session::handlerOf(Step step)
{
    // The operation may touch the socket and the buffer after the session has given up the connection.
    return contained(shared_from_this(),
        [step, connection = m_connection](
            endpoint_session& self, boost::beast::error_code error, auto...) { (self.*step)(error); });
}

} // namespace kumquatbeam
