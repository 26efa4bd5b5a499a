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

/// Owns the counts and distributions for operators. It handles events before the controllers that act on them, and
/// observes their commands and failures through `metering_sink`. Only reports read it.
class metrics_controller final : public controller {
public:
    explicit metrics_controller(const configuration_controller&);

    std::string_view name() const override { return "metrics"; }
    void handle(const decision_event&, decision_context&) override;
    void describe(status_report&) const override;

    /// @{ Record results of the decisions.
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
