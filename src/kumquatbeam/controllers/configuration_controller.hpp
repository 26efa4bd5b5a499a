#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/decisions/document_catch_up.hpp"
#include "kumquatbeam/settings/fleet_document.hpp"

#include <memory>
#include <string>
#include <unordered_map>

namespace kumquatbeam {

/// Owns the active document. Only a newer accepted revision replaces it; an older one is ignored.
///
/// On startup the router does not activate its first document until its peers have reported their revisions, so that a
/// stale platform cannot make it activate an older revision than it had before the restart. See `document_catch_up`.
class configuration_controller final : public controller {
public:
    std::string_view name() const override { return "configuration"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override { return m_catchUp.nextDeadline(); }
    void onDeadline(decision_context& context) override { advanceCatchUp(context); }
    void describe(status_report&) const override;

    /// The active document, or null before the first.
    std::shared_ptr<const fleet_document> current() const { return m_newest.isActive ? m_newest.document : nullptr; }

    /// The account that a credential belongs to, or null.
    const client_account* accountOf(const std::string& credential) const;

private:
    /// The newest document that passed the checks. It is not activated while the router catches up with its peers.
    struct checked_document {
        std::shared_ptr<const fleet_document> document;
        std::string text;
        bool isActive = false;
    };

    void receive(const peer_received&, decision_context&);
    void processDocument(revision, const std::string& text, decision_context&);
    void sendDocument(const entry_vm_id& to, const document_request&, decision_context&);
    void advanceCatchUp(decision_context&);
    void activateDocument(decision_context&);
    revision newestRevision() const { return m_newest.document ? m_newest.document->revisionNumber : revision {}; }

    document_catch_up m_catchUp;
    checked_document m_newest;
    bool m_isReady = false;
    std::unordered_map<std::string, client_account_id> m_accountsByDigest;
};

} // namespace kumquatbeam
