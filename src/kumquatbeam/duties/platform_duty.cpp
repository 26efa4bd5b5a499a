#include "kumquatbeam/duties/platform_duty.hpp"

#include <utility>

namespace kumquatbeam {

platform_duty::platform_duty(const router_settings& settings, duty_links& links)
    : m_thread("platform")
{
    m_document = std::make_shared<platform_watch>(
        m_thread.context(), settings, "/document", [&links](revision revisionNumber, std::string text) {
            return links.decisions->tryPost(document_published { revisionNumber, std::move(text) });
        });
    m_members = std::make_shared<platform_watch>(
        m_thread.context(), settings, "/members", [&links](revision revisionNumber, std::string text) {
            return links.decisions->tryPost(members_published { revisionNumber, std::move(text) });
        });
}

void platform_duty::start()
{
    m_document->start();
    m_members->start();
    m_thread.start();
}

} // namespace kumquatbeam
