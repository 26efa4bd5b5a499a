#pragma once

#include "kumquatbeam/controllers/decision_log.hpp"
#include "kumquatbeam/settings/router_settings.hpp"
#include "kumquatbeam/types/time.hpp"

#include <cstdint>

namespace kumquatbeam {

/// Writes a line for each decision through Boost.Log. The rate is limited, so that a flood of requests does not fill
/// the log; refusals, the most frequent lines in a flood, have a lower limit of their own. Lines beyond the limits are
/// dropped, and the next second starts with a line that states their number. Not thread-safe.
class log_writer final : public decision_log {
public:
    explicit log_writer(std::int64_t linesPerSecond);

    void placed(const placement_record&) override;
    void refused(const refusal_record&) override;
    void ended(const outcome_record&) override;
    void changed(const change_record&) override;
    void failed(std::string_view part, const failure&) override;

private:
    /// Whether one more line may be written in this second; counts it.
    bool acquireLine();
    /// Same for a refusal.
    bool acquireRefusalLine();

    std::int64_t m_linesPerSecond;
    time_point m_windowEnd = time_point::min();
    std::int64_t m_linesLeft = 0;
    std::int64_t m_refusalsLeft = 0;
    std::int64_t m_droppedLines = 0;
};

/// Writes log lines to standard output from a separate thread. When its queue is full, lines are dropped, so that a
/// slow terminal does not block the router.
class log_sink {
public:
    explicit log_sink(const router_settings&);
    ~log_sink();

    log_sink(const log_sink&) = delete;
    log_sink& operator=(const log_sink&) = delete;
};

} // namespace kumquatbeam
