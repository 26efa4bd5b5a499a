#pragma once

#include "kumquatbeam/runtime/bounded_ring.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

namespace kumquatbeam {

/// @{ Sizes of the duties' rings, derived from the limit of requests in progress.
///
/// The reserved capacity holds the messages about requests in progress: at most four messages of a request are in
/// flight to a duty at once. The factor covers requests abandoned by their caller, which count until their attempt has
/// ended.
ring_limits decisionsRing(const router_settings&);
ring_limits callersRing(const router_settings&);
ring_limits endpointsRing(const router_settings&);
ring_limits peersRing();
ring_limits operatorsRing();
/// @}

} // namespace kumquatbeam
