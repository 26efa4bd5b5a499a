#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace kumquatbeam {

/// One incarnation of an endpoint, as announced in the directory.
struct announced_endpoint {
    endpoint_id id;
    pool_id pool;
    failure_domain_id domain;
    std::string address;
    std::int64_t port = 0;
    slot_count slots { 1 };
    /// Start of this incarnation, as a number from the endpoint itself. A restarted endpoint has a larger one.
    std::int64_t incarnation = 0;
    bool isDraining = false;
    /// Until when the endpoint is cold: it has just started and takes only a limited rate of requests.
    time_point coldUntil = time_point::min();

    friend bool operator==(const announced_endpoint&, const announced_endpoint&) = default;
};

/// All endpoints that are announced at one time. Announcements that cannot be parsed are left out.
struct endpoint_directory {
    std::map<endpoint_id, announced_endpoint> endpoints;
    /// Failure domains whose endpoints get no further requests until the operators take the evacuation back.
    std::set<failure_domain_id> evacuatedDomains {};
    /// Revision at which each announcement was last written, where the source states it. Endpoints write their
    /// announcements again and again, so it grows while an endpoint lives.
    std::map<endpoint_id, revision> revisions {};
};

} // namespace kumquatbeam
