#pragma once

#include "kumquatbeam/types/time.hpp"

namespace kumquatbeam {

/// When a message that is read now has arrived, as far as the process knows: it may have lain in a socket while the
/// process was paused.
struct arrival_bounds {
    /// Not before this time. What may only be done while the sender waits counts from here.
    time_point earliest;
    /// Not after this time. What may only end once the sender has stopped waiting counts from here.
    time_point latest;
};

} // namespace kumquatbeam
