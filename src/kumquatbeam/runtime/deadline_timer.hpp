#pragma once

#include "kumquatbeam/types/time.hpp"

#include <boost/asio/basic_waitable_timer.hpp>

namespace kumquatbeam {

/// An Asio timer that waits for a deadline of `clock`.
using deadline_timer = boost::asio::basic_waitable_timer<clock>;

} // namespace kumquatbeam
