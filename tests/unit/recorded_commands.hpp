#pragma once

#include "kumquatbeam/controllers/controller.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace kumquatbeam {

/// Records the commands that controllers send.
class recorded_commands final : public command_sink {
public:
    using any_command = std::variant<caller_command, endpoint_command, peer_command, operator_command>;

    void send(caller_command command) override { m_commands.emplace_back(std::move(command)); }
    void send(endpoint_command command) override { m_commands.emplace_back(std::move(command)); }
    void send(peer_command command) override { m_commands.emplace_back(std::move(command)); }
    void send(operator_command command) override { m_commands.emplace_back(std::move(command)); }

    /// Every command of one type, in the order of sending.
    template <typename Command> std::vector<Command> all() const
    {
        std::vector<Command> found;
        for (const auto& any : m_commands) {
            std::visit(
                [&](const auto& duty) {
                    std::visit(event_handlers { [&](const Command& command) { found.push_back(command); } }, duty);
                },
                any);
        }
        return found;
    }

    /// Every message of one type that was sent to a peer.
    template <typename Message> std::vector<std::pair<entry_vm_id, Message>> messages() const
    {
        std::vector<std::pair<entry_vm_id, Message>> found;
        for (const auto& sent : all<send_to_peer>()) {
            if (const auto* message = std::get_if<Message>(&sent.message))
                found.emplace_back(sent.to, *message);
        }
        return found;
    }

    void clear() { m_commands.clear(); }

private:
    std::vector<any_command> m_commands;
};

/// Records the placements, changes and failures that controllers log.
class recorded_log final : public decision_log {
public:
    void placed(const placement_record& record) override { placements.push_back(record); }
    void refused(const refusal_record&) override { }
    void ended(const outcome_record&) override { }
    void changed(const change_record& record) override { changes.push_back(record); }
    void failed(std::string_view, const failure& what) override { failures.push_back(what); }

    std::vector<placement_record> placements;
    std::vector<change_record> changes;
    std::vector<failure> failures;
};

} // namespace kumquatbeam
