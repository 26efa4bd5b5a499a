#pragma once

#include "kumquatbeam/duties/duty_links.hpp"
#include "kumquatbeam/platform/platform_watch.hpp"
#include "kumquatbeam/runtime/duty_thread.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

namespace kumquatbeam {

/// The duty that reads what the platform publishes: the operators' document and the member list.
class platform_duty {
public:
    platform_duty(const router_settings&, duty_links&);

    void start();
    void stop() { m_thread.stop(); }

private:
    duty_thread m_thread;
    std::shared_ptr<platform_watch> m_document;
    std::shared_ptr<platform_watch> m_members;
};

} // namespace kumquatbeam
