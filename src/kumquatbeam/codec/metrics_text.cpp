#include "kumquatbeam/codec/metrics_text.hpp"

#include "kumquatbeam/codec/http_call.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace kumquatbeam {

namespace {

    /// A label's name and value.
    using label = std::pair<std::string_view, std::string_view>;

    /// Shortest text that parses back to the same number; integers are exact up to 2^53.
    std::string toNumber(double value)
    {
        constexpr std::size_t maxNumberLength = 32;
        std::array<char, maxNumberLength> text {};
        const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
        return { text.data(), end };
    }

    std::string escaped(std::string_view text)
    {
        std::string result;
        for (const char character : text) {
            if (character == '\\' || character == '"')
                result.push_back('\\');
            result.push_back(character == '\n' ? ' ' : character);
        }
        return result;
    }

    /// Writes metric families in sequence.
    class metrics_writer {
    public:
        void family(std::string_view name, std::string_view type, std::string_view help)
        {
            m_family = "kumquatbeam_";
            m_family += name;
            append({ "# HELP ", m_family, " ", help, "\n# TYPE ", m_family, " ", type, "\n" });
        }

        void sample(std::initializer_list<label> labels, double value, std::string_view suffix = "")
        {
            append({ m_family, suffix });
            std::string_view separator = "{";
            for (const auto& [name, text] : labels)
                append({ std::exchange(separator, ","), name, "=\"", escaped(text), "\"" });
            append({ labels.size() > 0 ? "} " : " ", toNumber(value), "\n" });
        }

        /// Writes a family with a single sample.
        void single(std::string_view name, std::string_view type, std::string_view help, double value)
        {
            family(name, type, help);
            sample({}, value);
        }

        std::string takeText() { return std::move(m_text); }

    private:
        void append(std::initializer_list<std::string_view> parts)
        {
            for (const auto part : parts)
                m_text += part;
        }

        std::string m_text;
        std::string m_family;
    };

    template <typename Count> double toDouble(Count count)
    {
        return static_cast<double>(count);
    }

    void writeDuration(
        metrics_writer& out, const std::string& name, std::string_view help, const duration_report& duration)
    {
        out.family(name + "_seconds", "summary", help);
        for (const auto& [probability, seconds] : duration.quantiles)
            out.sample({ { "quantile", toNumber(probability) } }, seconds);
        out.sample({}, duration.totalSeconds, "_sum");
        out.sample({}, toDouble(duration.count), "_count");
        out.single(name + "_largest_seconds", "gauge", "Largest value since the start.", duration.largestSeconds);
    }

    void writeRequests(metrics_writer& out, const metrics_report& metrics)
    {
        out.family("requests_total", "counter", "Requests that ended, by outcome and failure.");
        for (const auto& row : metrics.outcomes)
            out.sample({ { "outcome", nameOf(row.kind) }, { "failure", nameOf(row.failure) } }, toDouble(row.requests));
        out.family("refused_by_flood_total", "counter", "Requests refused because their account sent too many.");
        for (const auto& row : metrics.floods)
            out.sample({ { "account", row.account.value } }, toDouble(row.refused));
        out.family("failures_total", "counter", "Failures that a part of the router logged.");
        for (const auto& row : metrics.failures)
            out.sample({ { "part", row.part }, { "failure", nameOf(row.failure) } }, toDouble(row.times));
        writeDuration(out, "queue_wait", "Time from admission to the first attempt.", metrics.queueWait);
        writeDuration(out, "attempt", "Time that an attempt held its slot.", metrics.attempt);
        writeDuration(out, "first_byte", "Time from admission to the head of a streamed answer.", metrics.firstByte);
    }

    /// A gauge that has one sample for each pool.
    struct pool_gauge {
        std::string_view name;
        std::string_view help;
        double (*valueOf)(const pool_metrics&);
    };

    constexpr pool_gauge poolGauges[] = {
        { "pool_slots", "Slots of the pool's endpoints.",
            [](const pool_metrics& row) { return toDouble(row.slots.value); } },
        { "pool_running", "Calls of this router that run.",
            [](const pool_metrics& row) { return toDouble(row.running); } },
        { "pool_reported_running", "Calls that the endpoints report, from all routers.",
            [](const pool_metrics& row) { return toDouble(row.reportedRunning); } },
        { "pool_reported_waiting", "Calls that wait at the endpoints, as they report.",
            [](const pool_metrics& row) { return toDouble(row.reportedWaiting); } },
        { "pool_utilisation", "Reported calls as a part of the slots.",
            [](const pool_metrics& row) {
                return row.slots.value == 0 ? 0 : toDouble(row.reportedRunning) / toDouble(row.slots.value);
            } },
        { "pool_backlogged_accounts", "Accounts with waiting requests in this router.",
            [](const pool_metrics& row) { return toDouble(row.backloggedAccounts); } },
        { "pool_fairness_gap_slot_seconds",
            "Largest difference in service for one share between accounts backlogged in this router.",
            [](const pool_metrics& row) { return row.fairnessGap; } },
        { "pool_largest_fairness_gap_slot_seconds", "Largest value of the fairness gap since the start.",
            [](const pool_metrics& row) { return row.largestFairnessGap; } },
    };

    void writePools(metrics_writer& out, const metrics_report& metrics)
    {
        for (const auto& gauge : poolGauges) {
            out.family(gauge.name, "gauge", gauge.help);
            for (const auto& row : metrics.pools)
                out.sample({ { "pool", row.pool.value } }, gauge.valueOf(row));
        }
    }

    /// Accounts without requests so far are left out, since most of the thousands of accounts are idle.
    void writeAccounts(metrics_writer& out, const status_report& report)
    {
        out.family("account_served_slot_seconds_total", "counter", "Service of the account in this router.");
        constexpr double microsecondsPerSecond = 1e6;
        for (const auto& row : report.accounts) {
            if (row.served.value > 0)
                out.sample({ { "pool", row.pool.value }, { "account", row.account.value } },
                    toDouble(row.served.value) / microsecondsPerSecond);
        }
        out.family("account_waiting", "gauge", "Requests of the account that wait in this router.");
        for (const auto& row : report.accounts) {
            if (row.waiting > 0)
                out.sample({ { "pool", row.pool.value }, { "account", row.account.value } }, toDouble(row.waiting));
        }
    }

    /// A counter that has one sample for each pool.
    struct cold_pool_counter {
        std::string_view name;
        std::string_view help;
        std::uint64_t cold_pool_counts::*count;
    };

    constexpr cold_pool_counter coldPoolCounters[] = {
        { "pool_sent_to_cold_total", "Requests sent to cold endpoints.", &cold_pool_counts::sentToCold },
        { "pool_found_only_cold_total", "Calls that found only cold endpoints without allowance.",
            &cold_pool_counts::foundOnlyCold },
        { "pool_refused_evacuated_total", "Calls that found all usable endpoints in evacuated failure domains.",
            &cold_pool_counts::refusedEvacuated },
    };

    void writeColdPools(metrics_writer& out, const status_report& report)
    {
        out.single("evacuated_domains", "gauge", "Failure domains that are evacuated.",
            toDouble(report.evacuatedDomains.size()));
        out.single("cold_endpoints", "gauge", "Endpoints that are cold.",
            toDouble(std::count_if(report.endpoints.begin(), report.endpoints.end(),
                [](const endpoint_state& row) { return row.isCold; })));
        for (const auto& counter : coldPoolCounters) {
            out.family(counter.name, "counter", counter.help);
            for (const auto& row : report.coldPools)
                out.sample({ { "pool", row.pool.value } }, toDouble(row.counts.*counter.count));
        }
    }

    void writeRouter(metrics_writer& out, const status_report& report)
    {
        out.single("ready", "gauge", "Whether the router has an accepted document.", report.isReady ? 1 : 0);
        out.single("draining", "gauge", "Whether the router is shutting down.", report.isDraining ? 1 : 0);
        out.single("document_revision", "gauge", "Revision of the document in force.", toDouble(report.document.value));
        out.single("members_revision", "gauge", "Revision of the member list.", toDouble(report.members.value));
        out.single("source_era", "gauge", "Era of the published data.", toDouble(report.sourceEra.value));
        out.single("source_eras_total", "counter", "Eras of the published data that the router has seen.",
            toDouble(report.sourceErasSeen));
        out.single("control_sent_bytes_total", "counter", "Bytes of frames to other routers.",
            toDouble(report.controlBytesSent));
        out.single(
            "control_sent_frames_total", "counter", "Frames to other routers.", toDouble(report.controlFramesSent));
        out.single("control_received_bytes_total", "counter", "Bytes of frames from other routers.",
            toDouble(report.controlBytesReceived));
        out.single("caller_held_bytes", "gauge", "Bytes of requests and of replies that callers have not read.",
            toDouble(report.callerHeldBytes));
        out.family(
            "callers_dropped_total", "counter", "Requests and connections of callers dropped, by what was short.");
        out.sample({ { "short", "memory" } }, toDouble(report.callersDroppedForMemory));
        out.sample({ { "short", "connections" } }, toDouble(report.callersDroppedForConnections));
        out.family("peer_connected", "gauge", "Whether a listed router is connected.");
        for (const auto& row : report.peers)
            out.sample({ { "peer", row.peer.value } }, row.isConnected ? 1 : 0);
        out.family("ring_refused_total", "counter", "Messages that a duty's full ring refused.");
        for (const auto& row : report.rings)
            out.sample({ { "duty", row.duty } }, toDouble(row.refused));
    }

} // namespace

std::string encodeMetrics(const status_report& report)
{
    metrics_writer out;
    writeRouter(out, report);
    writeRequests(out, report.metrics);
    writePools(out, report.metrics);
    writeAccounts(out, report);
    writeColdPools(out, report);
    return out.takeText();
}

} // namespace kumquatbeam
