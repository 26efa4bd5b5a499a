#include "kumquatbeam/capacity/fleet_sample.hpp"
#include "kumquatbeam/codec/metrics_text.hpp"
#include "kumquatbeam/codec/status_json.hpp"
#include "kumquatbeam/codec/status_table.hpp"
#include "kumquatbeam/decisions/fairness_meter.hpp"

#include <doctest/doctest.h>

namespace {

using namespace kumquatbeam;

/// Records the started attempts and the last status report of a core.
class status_recorder final : public command_sink, public decision_log {
public:
    void send(caller_command) override { }
    void send(endpoint_command command) override
    {
        if (const auto* attempt = std::get_if<start_attempt>(&command))
            started.push_back(*attempt);
    }
    void send(peer_command) override { }
    void send(operator_command command) override
    {
        if (auto* reply = std::get_if<status_reply>(&command))
            report = std::move(reply->report);
    }
    void placed(const placement_record&) override { }
    void refused(const refusal_record&) override { }
    void ended(const outcome_record&) override { }
    void changed(const change_record&) override { }
    void failed(std::string_view, const failure&) override { }

    std::vector<start_attempt> started;
    status_report report;
};

bool has(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

constexpr std::int64_t second = 1'000'000;

} // namespace

TEST_CASE("The fairness gap compares service per share of accounts that are backlogged at the same time [metrics]")
{
    fairness_meter meter;
    const client_account_id large { "large" };
    const client_account_id small { "small" };
    meter.enqueue(large, { 2000 });
    meter.recordService(large, { 100 * second });
    CHECK(meter.gap() == 0);
    meter.enqueue(small, { 1000 });
    CHECK(meter.gap() == 0);
    meter.recordService(large, { 4 * second });
    CHECK(meter.gap() == 2);
    meter.recordService(small, { 2 * second });
    CHECK(meter.gap() == 0);
    meter.recordService(small, { 3 * second });
    meter.dequeue(small);
    CHECK(meter.gap() == 0);
    CHECK(meter.largestGap() == 3);
    CHECK(meter.backloggedAccounts() == 1);
}

TEST_CASE("Metrics count outcomes, waits, floods and failures of one router [metrics]")
{
    const fleet_size size { .accounts = 2, .endpoints = 1, .pools = 1, .domains = 1 };
    status_recorder recorder;
    decision_core core(sampleSettings("local-only"), { 1 }, recorder, recorder);
    const auto start = clock::now();
    auto text = sampleDocument(size);
    text.replace(text.find("share=1000"), 10, "share=1000\nqueue-limit=1");
    text.replace(text.find("slots=80"), 8, "slots=1");
    const auto started = start - document_catch_up::startupWaitLimit;
    core.handle(document_published { { 1 }, text }, started);
    // Advances in steps, since a long gap between two calls would be detected as a pause of the process.
    for (auto now = started; now <= start; now += std::chrono::milliseconds(500))
        core.onDeadline(now);
    core.handle(document_published { { 2 }, "[shop a]\n" }, start);
    const auto arrive = [&](std::uint64_t id) {
        auto call = std::make_shared<call_request>();
        call->credential = sampleCredential(0);
        call->pool = { "model0" };
        core.handle(request_arrived { { id }, call }, start);
    };
    for (const std::uint64_t id : { 1, 2, 3 })
        arrive(id);
    REQUIRE(recorder.started.size() == 1);
    core.handle(answer_begun { { 1 } }, start + std::chrono::seconds(1));
    core.handle(attempt_ended { .id = { 1 },
                    .endpoint = { "endpoint0000" },
                    .outcome = attempt_outcome::Completed,
                    .cost = { 2 * second } },
        start + std::chrono::seconds(2));
    core.handle(load_observed { { "endpoint0000" }, endpoint_load { { "endpoint0000" }, 1, 0, false } }, start);
    core.handle(status_requested { { 1 } }, start);

    const auto metrics = encodeMetrics(recorder.report);
    CHECK(has(metrics, "kumquatbeam_requests_total{outcome=\"answered\",failure=\"none\"} 1"));
    CHECK(has(metrics, "kumquatbeam_requests_total{outcome=\"not-run\",failure=\"queue-full\"} 1"));
    CHECK(has(metrics, "kumquatbeam_refused_by_flood_total{account=\"account0000\"} 1"));
    CHECK(has(metrics, "kumquatbeam_failures_total{part=\"configuration\",failure=\"unknown-section\"} 1"));
    CHECK(has(metrics, "kumquatbeam_queue_wait_seconds_sum 2"));
    CHECK(has(metrics, "kumquatbeam_queue_wait_seconds_count 2"));
    CHECK(has(metrics, "kumquatbeam_attempt_seconds_sum 2"));
    CHECK(has(metrics, "kumquatbeam_first_byte_seconds_sum 1"));
    CHECK(has(metrics, "kumquatbeam_pool_running{pool=\"model0\"} 1"));
    CHECK(has(metrics, "kumquatbeam_pool_utilisation{pool=\"model0\"} 1"));
    CHECK(has(metrics, "kumquatbeam_document_revision 1"));

    const auto table = formatStatusTable(encodeStatus(recorder.report));
    REQUIRE(table.ok());
    CHECK(table->find("document revision 1") != std::string::npos);
    CHECK(table->find("account0000") != std::string::npos);
    CHECK(table->find("1 rows without a call so far") != std::string::npos);
    CHECK_FALSE(formatStatusTable("{}").ok());
}

TEST_CASE("Quantiles are reported only after enough observations [metrics]")
{
    duration_meter meter;
    for (int value = 1; value <= 8; ++value)
        meter.observe(std::chrono::milliseconds(value));
    CHECK(meter.report().quantiles.empty());
    for (int value = 9; value <= 1000; ++value)
        meter.observe(std::chrono::milliseconds(value));
    const auto report = meter.report();
    CHECK(report.count == 1000);
    CHECK(report.largestSeconds == doctest::Approx(1));
    REQUIRE(report.quantiles.size() == 3);
    CHECK(report.quantiles[0].seconds == doctest::Approx(0.5).epsilon(0.02));
    CHECK(report.quantiles[2].seconds == doctest::Approx(0.99).epsilon(0.02));
}

TEST_CASE("Label values in metrics are escaped [metrics]")
{
    status_report report;
    report.metrics.floods.push_back({ { "a\"b\\c" }, 1 });
    CHECK(has(encodeMetrics(report), R"(kumquatbeam_refused_by_flood_total{account="a\"b\\c"} 1)"));
}

TEST_CASE("Evacuations and cold endpoints are in the metrics and in the status [metrics]")
{
    status_report report;
    report.evacuatedDomains.push_back({ "north" });
    report.endpoints.push_back({ .endpoint = { "e1" }, .pool = { "desk" }, .isEvacuated = true, .isCold = true });
    report.coldPools.push_back({ { "desk" }, { .sentToCold = 3, .foundOnlyCold = 2, .refusedEvacuated = 1 } });
    const auto metrics = encodeMetrics(report);
    CHECK(has(metrics, "kumquatbeam_evacuated_domains 1"));
    CHECK(has(metrics, "kumquatbeam_cold_endpoints 1"));
    CHECK(has(metrics, "kumquatbeam_pool_sent_to_cold_total{pool=\"desk\"} 3"));
    CHECK(has(metrics, "kumquatbeam_pool_found_only_cold_total{pool=\"desk\"} 2"));
    CHECK(has(metrics, "kumquatbeam_pool_refused_evacuated_total{pool=\"desk\"} 1"));
    const auto status = encodeStatus(report);
    CHECK(status.find("\"evacuated_domains\"") != std::string::npos);
    CHECK(status.find("\"found_only_cold\": 2") != std::string::npos);
    CHECK(formatStatusTable(status).ok());
}
