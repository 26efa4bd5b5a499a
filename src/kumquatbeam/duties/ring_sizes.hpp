#pragma once

#include "kumquatbeam/runtime/bounded_ring.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

namespace kumquatbeam {

/// @{ Sizes of the duties' rings, worked out from the number of requests that may be in progress.
///
/// The reserved places hold what follows from requests in progress: at most four messages of a request are under way to
/// a duty at once. A request that its caller abandoned counts until its attempt has ended, hence the factor.
ring_limits decisionsRing(const router_settings&);
ring_limits callersRing(const router_settings&);
ring_limits endpointsRing(const router_settings&);
ring_limits peersRing();
ring_limits operatorsRing();
/// @}

} // namespace kumquatbeam
