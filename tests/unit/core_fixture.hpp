#pragma once

#include "kumquatbeam/controllers/decision_core.hpp"
#include "kumquatbeam/types/credential_digest.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kumquatbeam {

/// Records the commands that controllers send to the other duties.
class recording_command_sink final : public command_sink {
public:
    void send(caller_command command) override { callers.push_back(std::move(command)); }
    void send(endpoint_command command) override { endpoints.push_back(std::move(command)); }
    void send(peer_command command) override { peers.push_back(std::move(command)); }
    void send(operator_command command) override { operators.push_back(std::move(command)); }

    std::vector<caller_command> callers;
    std::vector<endpoint_command> endpoints;
    std::vector<peer_command> peers;
    std::vector<operator_command> operators;
};

/// Discards all log records.
class null_log final : public decision_log {
public:
    void placed(const placement_record&) override { }
    void refused(const refusal_record&) override { }
    void ended(const outcome_record&) override { }
    void changed(const change_record&) override { }
    void failed(std::string_view, const failure&) override { }
};

/// Decision core of router `r1` with two accounts, an idempotent pool `model`, a non-idempotent pool `booking`, and a
/// clock that the test sets.
class core_fixture {
public:
    static constexpr incarnation_id incarnation { 11 };
    static constexpr incarnation_id defaultPeerIncarnation { 22 };

    explicit core_fixture(const std::string& accountSettings = {})
        : core(settings(), incarnation, commands, log)
    {
        handle(document_published { { 1 }, document(accountSettings) });
        handle(members_published { { 1 }, members() });
        // The first document becomes active once the peers have reported, or when the wait for them times out.
        pass(document_catch_up::startupWaitLimit);
    }

    static std::string credentialOf(const std::string& account) { return "secret-of-" + account; }

    void handle(const decision_event& event) { core.handle(event, now); }

    /// Advances the clock and runs all deadlines that are due.
    void pass(std::chrono::milliseconds time)
    {
        // Advances in steps, because a long gap between two iterations would be detected as a pause of the process.
        constexpr std::chrono::milliseconds step { 500 };
        for (const auto end = now + time; now < end;) {
            now = std::min(end, now + step);
            if (core.nextDeadline() <= now)
                core.onDeadline(now);
        }
    }

    void connectPeer(const std::string& name, incarnation_id peerIncarnation = defaultPeerIncarnation)
    {
        handle(peer_connected { { { name }, peerIncarnation, { "north" } } });
    }

    call_request orderCall(const order_ticket& ticket, const std::string& account = "large") const
    {
        call_request call { .credential = credentialOf(account), .pool = { "booking" } };
        call.target = "/order";
        call.body = "order=1";
        call.deadline = now + std::chrono::seconds(10);
        call.ticket = ticket;
        return call;
    }

    request_id sendRequest(call_request call)
    {
        const request_id id { ++lastRequest };
        handle(request_arrived { id, std::make_shared<const call_request>(std::move(call)) });
        return id;
    }

    /// Requests a ticket and returns the reply.
    call_reply requestTicket(const std::string& account = "large")
    {
        call_request call { .credential = credentialOf(account), .pool = { "booking" } };
        call.isTicketRequest = true;
        return *replyTo(sendRequest(std::move(call)));
    }

    order_ticket ticket(const std::string& account = "large") { return *requestTicket(account).ticket; }

    /// The last complete reply sent to the caller of a request.
    std::optional<call_reply> replyTo(request_id id) const
    {
        std::optional<call_reply> last;
        for (const auto& command : commands.callers) {
            if (const auto* reply = std::get_if<reply_to_caller>(&command); reply && reply->id == id)
                last = reply->reply;
        }
        return last;
    }

    std::vector<start_attempt> attempts() const { return all<start_attempt>(commands.endpoints); }

    /// Messages of one type that were sent to peers, with their recipients.
    template <typename Message> std::vector<std::pair<entry_vm_id, Message>> sentToPeers() const
    {
        std::vector<std::pair<entry_vm_id, Message>> sent;
        for (const auto& command : all<send_to_peer>(commands.peers)) {
            if (const auto* message = std::get_if<Message>(&command.message))
                sent.emplace_back(command.to, *message);
        }
        return sent;
    }

    /// Ends the last started attempt.
    void endAttempt(attempt_outcome outcome, const std::string& body = {})
    {
        const auto started = attempts();
        attempt_ended ended { .id = started.back().id, .endpoint = started.back().to.endpoint, .outcome = outcome };
        if (outcome == attempt_outcome::Completed) {
            ended.status = { 200 };
            ended.body = body;
        } else {
            ended.problem = failure { failure_kind::EndpointBroke };
        }
        handle(ended);
    }

    template <typename Wanted, typename Command> static std::vector<Wanted> all(const std::vector<Command>& commands)
    {
        std::vector<Wanted> found;
        for (const auto& command : commands) {
            if (const auto* wanted = std::get_if<Wanted>(&command))
                found.push_back(*wanted);
        }
        return found;
    }

    recording_command_sink commands;
    null_log log;
    time_point now { std::chrono::hours(1) };
    std::uint64_t lastRequest = 0;
    decision_core core;

private:
    static router_settings settings()
    {
        router_settings settings;
        settings.self = { "r1" };
        settings.domain = { "north" };
        // Orders do not depend on how slots are divided. With this strategy all slots are available immediately.
        settings.strategy = "local-only";
        return settings;
    }

    static std::string document(const std::string& accountSettings)
    {
        std::string text;
        for (const std::string name : { "large", "small" })
            absl::StrAppend(&text, "[account ", name,
                "]\nowner=accounts\nshare=1000\ncredential-sha256=", credentialDigest(credentialOf(name)), "\n",
                accountSettings, "\n");
        text += "[pool model]\nowner=models\nrepeatable=yes\n";
        text += "[pool booking]\nowner=bookings\nrepeatable=no\n";
        text
            += "[endpoint service0]\nowner=endpoints\npool=booking\ndomain=north\naddress=127.0.0.1\nport=1\nslots=4\n";
        return text;
    }

    static std::string members()
    {
        std::string text;
        for (const std::string name : { "r1", "r2" })
            absl::StrAppend(&text, "[entry-vm ", name, "]\ndomain=north\naddress=127.0.0.1\npeer-port=1\n");
        return text;
    }
};

} // namespace kumquatbeam
