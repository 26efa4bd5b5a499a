#include "kumquatbeam/settings/route_table.hpp"

#include "kumquatbeam/types/credential_digest.hpp"
#include "kumquatbeam/types/invariant.hpp"
#include "kumquatbeam/types/wire_key.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <numeric>

namespace kumquatbeam {

const pool_id& call_route::poolFor(const caller_request_id& callerRequestId) const
{
    KUMQUATBEAM_INVARIANT(!splits.empty());
    const auto total = std::accumulate(splits.begin(), splits.end(), std::int64_t { 0 },
        [](std::int64_t sum, const route_split& split) { return sum + split.weight; });
    if (total <= 0)
        return splits.front().pool;
    auto offset = static_cast<std::int64_t>(wireKeyOf(callerRequestId).value) % total;
    for (const auto& split : splits) {
        if (offset < split.weight)
            return split.pool;
        offset -= split.weight;
    }
    return splits.back().pool;
}

void route_table::sortRoutes()
{
    for (auto& [host, hostRoutes] : routes) {
        std::stable_sort(hostRoutes.begin(), hostRoutes.end(), [](const call_route& left, const call_route& right) {
            return left.pathPrefix.size() > right.pathPrefix.size();
        });
    }
}

const call_route* route_table::routeFor(std::string_view authority, std::string_view target) const
{
    const auto host = absl::AsciiStrToLower(std::string(authority.substr(0, authority.find(':'))));
    const auto path = target.substr(0, target.find('?'));
    const auto hostRoutes = routes.find(host);
    if (hostRoutes == routes.end())
        return nullptr;
    const auto match = std::find_if(hostRoutes->second.begin(), hostRoutes->second.end(),
        [path](const call_route& route) { return path.starts_with(route.pathPrefix); });
    return match == hostRoutes->second.end() ? nullptr : &*match;
}

const client_account_id* route_table::accountOf(const std::string& credential) const
{
    const auto found = accountsByDigest.find(credentialDigest(credential));
    return found == accountsByDigest.end() ? nullptr : &found->second;
}

} // namespace kumquatbeam
