#include "kumquatbeam/codec/status_table.hpp"

#include "kumquatbeam/types/failure.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace kumquatbeam {

namespace {

    using nlohmann::json;

    constexpr double microsecondsPerSecond = 1e6;
    constexpr double thousandthsInShare = 1e3;

    std::string textOf(const json& object, const char* key)
    {
        return object.at(key).get<std::string>();
    }

    std::int64_t numberOf(const json& object, const char* key)
    {
        return object.at(key).get<std::int64_t>();
    }

    std::string formatRouter(const json& status)
    {
        const char* state = status.at("draining").get<bool>() ? "draining"
            : status.at("ready").get<bool>()                  ? "ready"
                                                              : "not ready: no accepted document";
        return absl::StrFormat("router %s in %s: %s\ndocument revision %d, members revision %d, strategy %s\n"
                               "control: %d bytes sent in %d frames, %d bytes received\n",
            textOf(status, "entry_vm"), textOf(status, "domain"), state, numberOf(status, "document_revision"),
            numberOf(status, "members_revision"), textOf(status, "strategy"), numberOf(status, "control_bytes_sent"),
            numberOf(status, "control_frames_sent"), numberOf(status, "control_bytes_received"));
    }

    std::string formatAccounts(const json& status)
    {
        std::string text = absl::StrFormat("\n%-12s %-20s %9s %8s %8s %14s %16s\n", "POOL", "ACCOUNT", "SHARE",
            "WAITING", "RUNNING", "SERVED slot-s", "SERVED by share");
        std::size_t idle = 0;
        for (const auto& row : status.at("accounts")) {
            const auto served = static_cast<double>(numberOf(row, "served_slot_us")) / microsecondsPerSecond;
            const auto waiting = numberOf(row, "waiting");
            const auto running = numberOf(row, "running");
            if (served == 0 && waiting == 0 && running == 0) {
                ++idle;
                continue;
            }
            const auto shares = static_cast<double>(numberOf(row, "share_thousandths")) / thousandthsInShare;
            absl::StrAppendFormat(&text, "%-12s %-20s %9.3f %8d %8d %14.3f %16.3f\n", textOf(row, "pool"),
                textOf(row, "account"), shares, waiting, running, served, served / shares);
        }
        return absl::StrCat(text, idle, " rows without a call so far\n");
    }

    struct pool_sum {
        std::int64_t slots = 0;
        std::int64_t running = 0;
        std::int64_t endpoints = 0;
        std::int64_t leaving = 0;
        std::int64_t evacuated = 0;
        std::int64_t cold = 0;
        /// @{ Endpoints with a learned rate, and their lowest and highest rate in tokens per millisecond.
        std::int64_t learned = 0;
        std::int64_t lowestRate = 0;
        std::int64_t highestRate = 0;
        /// @}
    };

    std::string formatEndpoints(const json& status)
    {
        std::map<std::string, pool_sum> pools;
        for (const auto& row : status.at("endpoints")) {
            auto& pool = pools[textOf(row, "pool")];
            ++pool.endpoints;
            pool.slots += numberOf(row, "slots");
            pool.running += numberOf(row, "running");
            pool.leaving += row.at("leaving").get<bool>() ? 1 : 0;
            pool.evacuated += row.value("evacuated", false) ? 1 : 0;
            pool.cold += row.value("cold", false) ? 1 : 0;
            const auto rate = numberOf(row, "learned_tokens_per_ms");
            if (rate == 0)
                continue;
            pool.lowestRate = pool.learned == 0 ? rate : std::min(pool.lowestRate, rate);
            pool.highestRate = std::max(pool.highestRate, rate);
            ++pool.learned;
        }
        auto text = absl::StrFormat("\n%-12s %9s %8s %9s %8s %8s %14s %22s\n", "POOL", "ENDPOINTS", "LEAVING",
            "EVACUATED", "COLD", "SLOTS", "RUNNING (here)", "RATES learned tokens/ms");
        for (const auto& [name, pool] : pools)
            absl::StrAppendFormat(&text, "%-12s %9d %8d %9d %8d %8d %14d %22s\n", name, pool.endpoints, pool.leaving,
                pool.evacuated, pool.cold, pool.slots, pool.running,
                pool.learned == 0 ? ""
                                  : absl::StrFormat("%d: %d to %d", pool.learned, pool.lowestRate, pool.highestRate));
        return text;
    }

    std::string formatPeers(const json& status)
    {
        std::string disconnected;
        std::size_t connected = 0;
        for (const auto& row : status.at("peers")) {
            if (row.at("connected").get<bool>())
                ++connected;
            else
                absl::StrAppend(&disconnected, disconnected.empty() ? "" : ", ", textOf(row, "entry_vm"));
        }
        return absl::StrCat("\npeers: ", connected, " of ", status.at("peers").size(),
            " connected\ncut off: ", disconnected.empty() ? "none" : disconnected, "\n");
    }

} // namespace

absl::StatusOr<std::string> formatStatusTable(const std::string& text)
{
    try {
        const auto status = json::parse(text);
        return formatRouter(status) + formatAccounts(status) + formatEndpoints(status) + formatPeers(status);
    } catch (const json::exception& error) {
        return toStatus({ failure_kind::SyntaxError, "status", error.what(), "a status of this version" });
    }
}

} // namespace kumquatbeam
