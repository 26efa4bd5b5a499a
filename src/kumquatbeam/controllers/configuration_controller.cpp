#include "kumquatbeam/controllers/configuration_controller.hpp"

#include "kumquatbeam/types/credential_digest.hpp"

#include <utility>

namespace kumquatbeam {

namespace {

    probe_endpoints probedEndpoints(const fleet_document& document)
    {
        probe_endpoints probed;
        for (const auto& [id, endpoint] : document.endpoints)
            probed.endpoints.push_back({ id, endpoint.address, endpoint.port });
        return probed;
    }

} // namespace

void configuration_controller::handle(const decision_event& event, decision_context& context)
{
    const event_handlers handlers {
        [&](const document_published& published) {
            processDocument(published.revisionNumber, published.text, context);
        },
        [&](const membership_changed& changed) { m_catchUp.setExpectedPeers(changed.peers); },
        [&](const peer_received& received) { receive(received, context); },
        [&](const peer_lost& lost) { m_catchUp.removePeer(lost.peer); },
    };
    std::visit(handlers, event);
    advanceCatchUp(context);
}

void configuration_controller::describe(status_report& report) const
{
    const auto document = current();
    report.isReady = document != nullptr;
    if (document)
        report.document = document->revisionNumber;
    report.refusedDocument = m_catchUp.newestRefused();
}

const client_account* configuration_controller::accountOf(const std::string& credential) const
{
    // The table is keyed by digest, so the timing of the lookup reveals nothing about the credential itself.
    const auto found = m_accountsByDigest.find(credentialDigest(credential));
    return found == m_accountsByDigest.end() ? nullptr : &m_newest.document->accounts.at(found->second);
}

void configuration_controller::receive(const peer_received& received, decision_context& context)
{
    const event_handlers handlers {
        [&](const peer_heartbeat& heartbeat) { m_catchUp.recordAcceptedRevision(received.from, heartbeat.document); },
        [&](const document_request& request) { sendDocument(received.from, request, context); },
        [&](const document_offer& offered) {
            m_catchUp.recordOffer(received.from);
            processDocument(offered.revisionNumber, offered.text, context);
        },
    };
    std::visit(handlers, received.message);
}

void configuration_controller::processDocument(revision offered, const std::string& text, decision_context& context)
{
    if (offered <= newestRevision() || m_catchUp.hasRefused(offered))
        return;
    auto result = parseDocument(offered, text);
    for (const auto& fault : result.faults)
        context.log.failed(name(), fault);
    if (!result.isAccepted()) {
        m_catchUp.recordRefused(offered);
        context.log.changed({ name(), "refused", std::to_string(offered.value) });
        return;
    }
    m_newest = { std::make_shared<const fleet_document>(std::move(result.document)), text };
    if (m_isReady)
        activateDocument(context);
}

void configuration_controller::sendDocument(
    const entry_vm_id& to, const document_request& request, decision_context& context)
{
    const auto document = current();
    if (document && document->revisionNumber > request.newerThan)
        context.commands.send(
            peer_command { send_to_peer { to, document_offer { document->revisionNumber, m_newest.text } } });
}

void configuration_controller::advanceCatchUp(decision_context& context)
{
    if (m_newest.document && !m_newest.isActive && m_catchUp.mayStartWith(newestRevision(), context.now))
        activateDocument(context);
    if (const auto peer = m_catchUp.nextPeerToAsk(newestRevision(), !m_isReady, context.now))
        context.commands.send(peer_command { send_to_peer { *peer, document_request { newestRevision() } } });
}

void configuration_controller::activateDocument(decision_context& context)
{
    m_newest.isActive = true;
    m_accountsByDigest.clear();
    for (const auto& [id, account] : m_newest.document->accounts)
        m_accountsByDigest.emplace(account.credentialDigest, id);
    m_catchUp.recordActivated(newestRevision());
    context.commands.send(endpoint_command { probedEndpoints(*m_newest.document) });
    if (!std::exchange(m_isReady, true))
        context.commands.send(caller_command { set_ready { true } });
    context.log.changed({ name(), "accepted", std::to_string(newestRevision().value) });
    context.raised.emplace_back(document_accepted { newestRevision() });
}

} // namespace kumquatbeam
