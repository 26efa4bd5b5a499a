#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace kumquatbeam {

/// One life of an endpoint as it has announced itself.
struct announced_endpoint {
    endpoint_id id;
    pool_id pool;
    failure_domain_id domain;
    std::string address;
    std::int64_t port = 0;
    slot_count slots { 1 };
    /// When this life began, in the endpoint's own count. An endpoint that starts again has another one.
    std::int64_t incarnation = 0;
    bool isDraining = false;

    friend bool operator==(const announced_endpoint&, const announced_endpoint&) = default;
};

/// Every endpoint that is announced at one time. Announcements that cannot be read are left out.
struct endpoint_directory {
    std::map<endpoint_id, announced_endpoint> endpoints;
};

} // namespace kumquatbeam
