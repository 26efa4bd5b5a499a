#include "kumquatbeam/capacity/fleet_sample.hpp"

#include "kumquatbeam/types/credential_digest.hpp"
#include "kumquatbeam/types/invariant.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>

namespace kumquatbeam {

namespace {

    constexpr std::int64_t sampleShare = 1000;
    constexpr std::chrono::hours sampleDeadline { 1 };

    std::string routerName(std::size_t index)
    {
        return absl::StrFormat("router%04d", index);
    }

    std::string accountName(std::size_t index)
    {
        return absl::StrFormat("account%04d", index);
    }

    std::string endpointName(std::size_t index)
    {
        return absl::StrFormat("endpoint%04d", index);
    }

    std::string domainName(std::size_t index, const fleet_size& size)
    {
        return absl::StrFormat("domain%02d", index % size.domains);
    }

    std::string poolName(std::size_t index)
    {
        return absl::StrFormat("model%d", index);
    }

    std::string addressOf(std::size_t index)
    {
        constexpr std::size_t hostsPerNetwork = 250;
        return absl::StrFormat("10.1.%d.%d", index / hostsPerNetwork, index % hostsPerNetwork + 1);
    }

} // namespace

fleet_size scaledTarget(double fraction)
{
    const auto scaled
        = [fraction](std::size_t count) { return static_cast<std::size_t>(static_cast<double>(count) * fraction); };
    auto size = targetFleet;
    size.accounts = scaled(size.accounts);
    size.endpoints = scaled(size.endpoints);
    size.routers = scaled(size.routers);
    return size;
}

std::string sampleDocument(const fleet_size& size)
{
    KUMQUATBEAM_INVARIANT(size.pools > 0 && size.domains > 0);
    std::string text;
    for (std::size_t index = 0; index < size.accounts; ++index)
        text += absl::StrFormat("[account %s]\nowner=accounts\nshare=%d\ncredential-sha256=%s\n", accountName(index),
            sampleShare, credentialDigest(sampleCredential(index)));
    for (std::size_t index = 0; index < size.pools; ++index)
        text += absl::StrFormat("[pool %s]\nowner=models\nrepeatable=yes\n", poolName(index));
    for (std::size_t index = 0; index < size.endpoints; ++index)
        text += absl::StrFormat("[endpoint %s]\nowner=endpoints\npool=%s\ndomain=%s\naddress=%s\nport=9000\nslots=%d\n",
            endpointName(index), poolName(index % size.pools), domainName(index, size), addressOf(index), targetSlots);
    return text;
}

std::string sampleMembers(const fleet_size& size)
{
    std::string text;
    for (std::size_t index = 0; index < size.routers; ++index)
        text += absl::StrFormat("[entry-vm %s]\ndomain=%s\naddress=%s\npeer-port=7000\n", routerName(index),
            domainName(index, size), addressOf(index));
    return text;
}

std::string sampleCredential(std::size_t index)
{
    return "credential-of-" + accountName(index);
}

pool_view sampleView(const fleet_size& size, std::size_t backlogged)
{
    pool_view view {
        .pool = { poolName(0) }, .self = { routerName(0) }, .domain = { domainName(0, size) }, .document = { 1 }
    };
    view.exchangePeriod = std::chrono::milliseconds(250);
    view.leaseDuration = std::chrono::milliseconds(1500);
    for (std::size_t index = 0; index < size.accounts; ++index) {
        account_backlog row { .account = { accountName(index) }, .share = { sampleShare } };
        row.waiting = index < backlogged ? 1 : 0;
        row.served = { static_cast<std::int64_t>(index) };
        view.accounts.push_back(std::move(row));
    }
    for (std::size_t index = 0; index < size.endpoints; ++index)
        view.endpoints.push_back({ .endpoint = { endpointName(index) },
            .domain = { domainName(index, size) },
            .slots = { static_cast<std::int32_t>(targetSlots) } });
    for (std::size_t index = 0; index < size.routers; ++index)
        view.routers.push_back({ { routerName(index) }, { domainName(index, size) }, true });
    return view;
}

router_settings sampleSettings(const std::string& strategy)
{
    router_settings settings { .self = { routerName(0) }, .domain = { "domain00" } };
    settings.strategy = strategy;
    return settings;
}

void null_sink::send(endpoint_command command)
{
    if (auto* attempt = std::get_if<start_attempt>(&command))
        m_lastAttempt = std::move(*attempt);
}

sample_core::sample_core(const fleet_size& size, const std::string& strategy)
    : m_document(sampleDocument(size))
    , m_core(sampleSettings(strategy), { 1 }, m_sink, m_sink)
{
    handle(document_published { { m_revision }, m_document });
    handle(members_published { { 1 }, sampleMembers(size) });
    skipPeerWait();
}

void sample_core::skipPeerWait()
{
    // In steps, since the core would treat a large gap as a pause of the process.
    constexpr std::chrono::milliseconds step { 500 };
    while (m_clockOffset < document_catch_up::startupWaitLimit) {
        m_clockOffset += step;
        m_core.onDeadline(now());
    }
}

request_id sample_core::admit(std::size_t account)
{
    auto call = std::make_shared<call_request>();
    call->credential = sampleCredential(account);
    call->pool = { poolName(0) };
    call->target = "/generate";
    call->body = "prompt";
    call->deadline = now() + sampleDeadline;
    const request_id id { ++m_lastRequest };
    handle(request_arrived { id, std::move(call) });
    return id;
}

void sample_core::finish()
{
    const auto& attempt = m_sink.lastAttempt();
    handle(attempt_ended {
        .id = attempt.id, .endpoint = attempt.to.endpoint, .outcome = attempt_outcome::Completed, .cost = { 1 } });
}

void sample_core::republishDocument()
{
    handle(document_published { { ++m_revision }, m_document });
}

} // namespace kumquatbeam
