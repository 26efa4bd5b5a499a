#include "kumquatbeam/controllers/configuration_controller.hpp"

#include "kumquatbeam/types/credential_digest.hpp"

#include <utility>

namespace kumquatbeam {

namespace {

    watch_endpoints watchedEndpoints(const fleet_document& document)
    {
        watch_endpoints watched;
        for (const auto& [id, endpoint] : document.endpoints)
            watched.endpoints.push_back({ id, endpoint.address, endpoint.port });
        return watched;
    }

} // namespace

void configuration_controller::handle(const decision_event& event, decision_context& context)
{
    std::visit(event_handlers { [&](const document_published& published) { publish(published, context); } }, event);
}

void configuration_controller::describe(status_report& report) const
{
    report.isReady = m_current != nullptr;
    if (m_current)
        report.document = m_current->current;
}

const client_account* configuration_controller::accountOf(const std::string& credential) const
{
    // The digest is what the table is keyed by, so the look-up's timing tells nothing about the credential itself.
    const auto found = m_accountsByDigest.find(credentialDigest(credential));
    return found == m_accountsByDigest.end() ? nullptr : &m_current->accounts.at(found->second);
}

void configuration_controller::publish(const document_published& published, decision_context& context)
{
    if (m_current && published.current <= m_current->current)
        return;
    auto verdict = parseDocument(published.current, published.text);
    for (const auto& fault : verdict.faults)
        context.log.failed(name(), fault);
    if (!verdict.isAccepted())
        return;
    if (!m_current)
        context.commands.send(caller_command { set_ready { true } });
    m_currentText = published.text;
    m_current = std::make_shared<const fleet_document>(std::move(verdict.document));
    m_accountsByDigest.clear();
    for (const auto& [id, account] : m_current->accounts)
        m_accountsByDigest.emplace(account.credentialDigest, id);
    context.commands.send(endpoint_command { watchedEndpoints(*m_current) });
    context.log.changed({ name(), "accepted", std::to_string(published.current.value) });
}

} // namespace kumquatbeam
