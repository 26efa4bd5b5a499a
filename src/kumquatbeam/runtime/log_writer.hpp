#pragma once

#include "kumquatbeam/controllers/decision_log.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

namespace kumquatbeam {

/// Writes a line for each decision through Boost.Log.
class log_writer final : public decision_log {
public:
    void placed(const placement_record&) override;
    void refused(const refusal_record&) override;
    void changed(const change_record&) override;
    void failed(std::string_view part, const failure&) override;
};

/// Sends log lines to standard error from a thread of its own. When its queue is full, lines are dropped: a slow
/// terminal must not slow the router.
class log_sink {
public:
    explicit log_sink(const router_settings&);
    ~log_sink();

    log_sink(const log_sink&) = delete;
    log_sink& operator=(const log_sink&) = delete;
};

} // namespace kumquatbeam
