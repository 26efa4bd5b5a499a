// Embeds the coordination library without the daemons. A custom front end asks a capacity strategy which account to
// serve next, identifies an order by a ticket, and reports typed failures to its callers.

#include <kumquatbeam/decisions/capacity_strategy.hpp>
#include <kumquatbeam/types/failure.hpp>
#include <kumquatbeam/types/order_ticket.hpp>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

namespace {

using namespace kumquatbeam;

constexpr int callsToStart = 30;
constexpr service_cost costOfCall { 1'000 };

/// A pool with one endpoint and two accounts, one of which has twice the share of the other.
pool_view makeView()
{
    pool_view view { .pool = { "desk" }, .self = { "front" }, .domain = { "north" }, .document = { 1 } };
    view.accounts.push_back({ .account = { "agents" }, .share = { 2000 }, .waiting = callsToStart });
    view.accounts.push_back({ .account = { "weavers" }, .share = { 1000 }, .waiting = callsToStart });
    view.endpoints.push_back({ .endpoint = { "e1" }, .domain = { "north" }, .slots = { 1 } });
    view.routers.push_back({ .router = { "front" }, .domain = { "north" }, .isReachable = true });
    return view;
}

/// Starts calls one after another and counts them by account.
std::map<client_account_id, int> runCalls(capacity_strategy& strategy, pool_view view)
{
    std::map<client_account_id, int> started;
    for (int call = 0; call < callsToStart; ++call) {
        const auto choice = strategy.choose(view, clock::now());
        if (!choice)
            break;
        ++started[choice->account];
        for (auto& row : view.accounts) {
            if (row.account != choice->account)
                continue;
            --row.waiting;
            row.served += costOfCall;
        }
    }
    return started;
}

} // namespace

int main()
{
    const auto strategy = makeCapacityStrategy("local-only");
    if (!strategy)
        return EXIT_FAILURE;
    const auto started = runCalls(*strategy, makeView());
    for (const auto& [account, calls] : started)
        std::cout << account.value << " started " << calls << " calls\n";

    const order_ticket ticket { .owner = { "front" }, .incarnation = { 7 }, .sequence = 1, .nonce = 42 };
    const auto parsed = parseOrderTicket(toText(ticket));
    std::cout << "ticket " << toText(ticket) << "\n";

    const auto status = toStatus({ failure_kind::QueueFull, "weavers" });
    std::cout << describe(failureOf(status).value_or(failure {})) << "\n";

    const bool isFair = started.at({ "agents" }) == 2 * started.at({ "weavers" });
    return isFair && parsed == ticket ? EXIT_SUCCESS : EXIT_FAILURE;
}
