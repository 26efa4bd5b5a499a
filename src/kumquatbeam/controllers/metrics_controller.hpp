#pragma once

#include "kumquatbeam/controllers/configuration_controller.hpp"
#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/controllers/duration_meter.hpp"
#include "kumquatbeam/decisions/fairness_meter.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace kumquatbeam {

/// Owns the counts and distributions that operators watch. It sees every event first, and by `metering_sink` what the
/// other controllers do about it; nothing reads it but reports.
class metrics_controller final : public controller {
public:
    explicit metrics_controller(const configuration_controller&);

    std::string_view name() const override { return "metrics"; }
    void handle(const decision_event&, decision_context&) override;
    void describe(status_report&) const override;

    /// @{ What the decisions came to.
    void observe(const call_reply&);
    void observe(const start_attempt&, time_point now);
    void observe(const refusal_record&);
    void observe(std::string_view part, const failure&);
    /// @}

private:
    struct request_progress {
        client_account_id account;
        pool_id pool;
        time_point admittedAt;
        bool isQueued = false;
        bool hasFirstByte = false;
    };

    struct pool_meter {
        fairness_meter fairness;
        std::int64_t running = 0;
    };

    void recordAdmitted(const request_context&, time_point now);
    void recordEnded(const request_ended&);
    void recordAttemptEnded(const attempt_ended&);
    void recordFirstByte(request_id, time_point now);
    void count(reply_kind, failure_kind);
    std::vector<pool_metrics> describePools() const;

    const configuration_controller& m_configuration;
    std::unordered_map<request_id, request_progress> m_requests;
    std::map<pool_id, pool_meter> m_pools;
    std::unordered_map<endpoint_id, endpoint_load> m_loads;
    std::map<std::pair<reply_kind, failure_kind>, std::uint64_t> m_outcomes;
    std::map<std::pair<std::string, failure_kind>, std::uint64_t> m_failures;
    std::map<client_account_id, std::uint64_t> m_floods;
    duration_meter m_queueWait;
    duration_meter m_attempt;
    duration_meter m_firstByte;
};

} // namespace kumquatbeam
