#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/settings/fleet_document.hpp"

#include <memory>
#include <string>
#include <unordered_map>

namespace kumquatbeam {

/// Owns the accepted document. A newer accepted revision replaces it; nothing ever takes it back to an older one.
class configuration_controller final : public controller {
public:
    std::string_view name() const override { return "configuration"; }
    void handle(const decision_event&, decision_context&) override;
    void describe(status_report&) const override;

    /// The document in force, or null before the first.
    std::shared_ptr<const fleet_document> current() const { return m_current; }

    /// The account that a credential proves, or null.
    const client_account* accountOf(const std::string& credential) const;

private:
    void publish(const document_published&, decision_context&);

    std::shared_ptr<const fleet_document> m_current;
    std::string m_currentText;
    std::unordered_map<std::string, client_account_id> m_accountsByDigest;
};

} // namespace kumquatbeam
