#pragma once

#include "kumquatbeam/settings/member_list.hpp"
#include "kumquatbeam/settings/setting_row.hpp"
#include "kumquatbeam/types/ids.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace kumquatbeam {

/// Lowest severity that is logged.
enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

/// Names of the log levels in settings.
std::span<const setting_choice<log_level>> settingChoices(log_level);

/// Settings of one router process.
struct router_settings {
    entry_vm_id self;
    failure_domain_id domain;
    /// Source IP address of outgoing connections; empty lets the system choose.
    std::string sourceAddress;
    std::string callerAddress = "127.0.0.1";
    std::int64_t callerPort = 0;
    /// Port for the load balancer's readiness checks, if separate from the callers' port; zero for none.
    std::int64_t readinessPort = 0;
    std::string peerAddress = "127.0.0.1";
    std::int64_t peerPort = 0;
    std::string operatorAddress = "127.0.0.1";
    std::int64_t operatorPort = 0;
    std::string platformAddress = "127.0.0.1";
    std::int64_t platformPort = 0;
    /// Name of the strategy that divides slots between routers.
    std::string strategy = "leased-quotas";
    std::int64_t requestLimit = 4000;
    std::int64_t bodyLimit = 1'048'576;
    /// Bytes that the incomplete answers of endpoints may hold together.
    std::int64_t answerMemoryLimit = 67'108'864;
    /// Bytes that the requests of callers and the replies that they have not read may hold together. At least four
    /// times the largest body. By default, what the largest number of requests with the largest body hold.
    std::int64_t requestMemoryLimit = 4'294'967'296;
    /// Maximum number of open caller connections. Beyond it, the one that has waited longest for its caller is closed.
    std::int64_t callerLimit = 20'000;
    /// Bytes that the kernel may receive for a caller's connection before the router reads them; zero lets the system
    /// choose.
    std::int64_t callerReceiveBuffer = 0;
    /// Maximum number of connections to endpoints, in use and idle. An attempt beyond it ends without being sent.
    std::int64_t endpointConnectionLimit = 1'000'000;
    /// Time for the load balancer to notice that the router is no longer ready.
    std::chrono::milliseconds drainNotice { 1000 };
    /// Time after which a shutdown no longer waits for calls in progress.
    std::chrono::milliseconds drainLimit { 60000 };
    log_level logLevel = log_level::Info;
    /// Log lines per second; lines above this rate are dropped and counted.
    std::int64_t logRate = 20'000;
    /// Peers to contact until the platform has answered, from the `[peer NAME]` sections.
    std::vector<entry_vm> initialPeers;
};

/// Parses the text of a settings file. The status describes the first failure; `faults` receives all of them. A
/// strategy that is not in `strategies` is refused; an empty list allows any.
absl::StatusOr<router_settings> parseRouterSettings(
    const std::string& text, std::vector<failure>& faults, std::span<const std::string_view> strategies = {});

/// Settings table of the `[router]` section.
std::span<const setting_row<router_settings>> routerSettingsTable();

} // namespace kumquatbeam
