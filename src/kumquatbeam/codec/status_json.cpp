#include "kumquatbeam/codec/status_json.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace kumquatbeam {

namespace {

    nlohmann::ordered_json encodePool(const pool_status& pool)
    {
        nlohmann::ordered_json json { { "pool", pool.pool.value }, { "mean_cost_slot_us", pool.meanCost.value } };
        json["domains"] = nlohmann::ordered_json::array();
        for (const auto& row : pool.division.domains)
            json["domains"].push_back(
                { { "domain", row.domain.value }, { "arbiter", row.arbiter.value }, { "leased", row.leased.value } });
        json["leads"] = nlohmann::ordered_json::array();
        for (const auto& row : pool.division.accounts)
            json["leads"].push_back(
                { { "account", row.account.value }, { "lead_slot_us_per_share_thousandth", row.lead } });
        return json;
    }

} // namespace

std::string encodeStatus(const status_report& report)
{
    nlohmann::ordered_json json {
        { "entry_vm", report.self.value },
        { "domain", report.domain.value },
        { "incarnation", report.incarnation.value },
        { "document_revision", report.document.value },
        { "refused_document_revision", report.refusedDocument.value },
        { "members_revision", report.members.value },
        { "source_era", report.sourceEra.value },
        { "source_eras_seen", report.sourceErasSeen },
        { "ready", report.isReady },
        { "draining", report.isDraining },
        { "strategy", report.strategy },
        { "control_bytes_sent", report.controlBytesSent },
        { "control_frames_sent", report.controlFramesSent },
        { "control_bytes_received", report.controlBytesReceived },
        { "caller_held_bytes", report.callerHeldBytes },
        { "callers_dropped_for_memory", report.callersDroppedForMemory },
        { "callers_dropped_for_connections", report.callersDroppedForConnections },
    };
    json["pools"] = nlohmann::ordered_json::array();
    for (const auto& pool : report.pools)
        json["pools"].push_back(encodePool(pool));
    json["accounts"] = nlohmann::ordered_json::array();
    for (const auto& row : report.accounts) {
        json["accounts"].push_back(
            { { "pool", row.pool.value }, { "account", row.account.value }, { "share_thousandths", row.share.value },
                { "waiting", row.waiting }, { "running", row.running }, { "served_slot_us", row.served.value } });
    }
    json["endpoints"] = nlohmann::ordered_json::array();
    for (const auto& row : report.endpoints) {
        json["endpoints"].push_back({ { "endpoint", row.endpoint.value }, { "pool", row.pool.value },
            { "slots", row.slots.value }, { "running", row.running.value }, { "leaving", row.isLeaving },
            { "ejected", row.isEjected }, { "evacuated", row.isEvacuated }, { "cold", row.isCold },
            { "learned_tokens_per_ms", std::lround(row.prefillRate) } });
    }
    json["evacuated_domains"] = nlohmann::ordered_json::array();
    for (const auto& domain : report.evacuatedDomains)
        json["evacuated_domains"].push_back(domain.value);
    json["cold_pools"] = nlohmann::ordered_json::array();
    for (const auto& row : report.coldPools)
        json["cold_pools"].push_back({ { "pool", row.pool.value }, { "sent_to_cold", row.counts.sentToCold },
            { "found_only_cold", row.counts.foundOnlyCold }, { "refused_evacuated", row.counts.refusedEvacuated } });
    json["peers"] = nlohmann::ordered_json::array();
    for (const auto& row : report.peers)
        json["peers"].push_back({ { "entry_vm", row.peer.value }, { "connected", row.isConnected },
            { "reachable", row.isReachable }, { "document_revision", row.document.value } });
    return json.dump(2) + "\n";
}

} // namespace kumquatbeam
