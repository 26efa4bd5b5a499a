#pragma once

#include "routing_fixture.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquatbeam {

/// Routing core whose source of routes and endpoints can be restored from an older copy.
class restored_fixture : public routing_fixture {
public:
    void publishIn(
        source_era era, std::shared_ptr<const route_table> routes, std::chrono::milliseconds sinceReadStarted = {})
    {
        handle(routes_observed { std::move(routes), now - sinceReadStarted, era });
    }

    /// Announces endpoints, each written at its revision, and evacuated domains.
    void announceIn(source_era era, const std::vector<std::pair<announced_endpoint, std::uint64_t>>& endpoints,
        const std::set<failure_domain_id>& evacuated = {}, std::optional<time_point> outageEndedAfter = std::nullopt)
    {
        auto directory = std::make_shared<endpoint_directory>();
        for (const auto& [announced, writtenAt] : endpoints) {
            directory->endpoints.emplace(announced.id, announced);
            directory->revisions.emplace(announced.id, revision { writtenAt });
        }
        directory->evacuatedDomains = evacuated;
        handle(directory_observed { std::move(directory), now, outageEndedAfter, era });
    }

    void hear(const std::string& router, std::uint64_t version, const std::string& address = "127.0.0.2")
    {
        fleet_heartbeat heartbeat { .from = { router }, .incarnation = { 5 }, .address = address };
        heartbeat.sequence = ++m_sequence;
        heartbeat.routes = { version };
        handle(peer_received { { router }, heartbeat });
    }

    /// Sends a request and completes it. Returns its failure, or `None` if it was sent to an endpoint.
    failure_kind failureOfCall(const std::string& key = "key")
    {
        const auto id = sendRequest("/lookup/1", key);
        if (const auto reply = replyTo(id))
            return reply->problem->kind;
        handle(attemptEnd(id, attempt_outcome::Completed));
        return failure_kind::None;
    }

    /// Whether one of several requests is sent to the endpoint; a pool's endpoints take turns.
    bool isUsed(const std::string& endpoint)
    {
        bool isFound = false;
        for (int call = 0; call < 4; ++call) {
            const bool isSent = failureOfCall() == failure_kind::None;
            isFound |= isSent && lastAttempt()->to.endpoint.value == endpoint;
        }
        return isFound;
    }

    bool isReady() const
    {
        const auto sent = commands.all<set_ready>();
        return !sent.empty() && sent.back().isReady;
    }

    /// A table in which one more key is valid.
    static std::shared_ptr<route_table> tableWithKey(std::uint64_t version, const std::string& key)
    {
        auto result = table(version);
        result->accountsByDigest.emplace(credentialDigest(key), client_account_id { "builders" });
        return result;
    }

    std::size_t changesOf(std::string_view change) const
    {
        return static_cast<std::size_t>(std::count_if(log.changes.begin(), log.changes.end(),
            [&](const change_record& record) { return record.change == change; }));
    }

    status_report status()
    {
        handle(status_requested { { 1 } });
        return commands.all<status_reply>().back().report;
    }

private:
    std::uint64_t m_sequence = 0;
};

} // namespace kumquatbeam
