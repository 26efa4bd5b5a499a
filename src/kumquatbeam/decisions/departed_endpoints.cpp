#include "kumquatbeam/decisions/departed_endpoints.hpp"

namespace kumquatbeam {

namespace {

    revision revisionOf(const endpoint_id& id, const endpoint_directory& directory)
    {
        const auto found = directory.revisions.find(id);
        return found == directory.revisions.end() ? revision {} : found->second;
    }

} // namespace

void departed_endpoints::record(const announced_endpoint& endpoint, time_point now)
{
    std::erase_if(m_departures, [&](const auto& entry) { return entry.second.forgetAt <= now; });
    m_departures.insert_or_assign(
        endpoint.id, departure { endpoint.incarnation, endpoint.isDraining, now + retention });
}

void departed_endpoints::hold(const announced_endpoint& endpoint, const endpoint_directory& directory, time_point now)
{
    record(endpoint, now);
    auto& departure = m_departures.at(endpoint.id);
    departure.heldUntil = now + holdTime;
    departure.heldRevision = revisionOf(endpoint.id, directory);
}

std::vector<endpoint_id> departed_endpoints::holdThoseIn(const endpoint_directory& restored, time_point now)
{
    std::vector<endpoint_id> held;
    for (auto& [id, departure] : m_departures) {
        const auto found = restored.endpoints.find(id);
        if (departure.forgetAt <= now || found == restored.endpoints.end()
            || found->second.incarnation > departure.incarnation)
            continue;
        departure.heldUntil = now + holdTime;
        departure.heldRevision = revisionOf(id, restored);
        held.push_back(id);
    }
    return held;
}

bool departed_endpoints::isHeld(
    const announced_endpoint& endpoint, const endpoint_directory& directory, time_point now) const
{
    const auto found = m_departures.find(endpoint.id);
    if (found == m_departures.end() || !found->second.heldUntil)
        return false;
    const auto& departure = found->second;
    return now < *departure.heldUntil && endpoint.incarnation <= departure.incarnation
        && revisionOf(endpoint.id, directory) == departure.heldRevision;
}

bool departed_endpoints::release(const announced_endpoint& endpoint)
{
    const auto node = m_departures.extract(endpoint.id);
    return !node.empty() && node.mapped().heldUntil && node.mapped().isDraining
        && node.mapped().incarnation == endpoint.incarnation;
}

} // namespace kumquatbeam
