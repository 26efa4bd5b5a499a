#pragma once

#include <exception>
#include <memory>
#include <string_view>
#include <utility>

namespace kumquatbeam {

/// Logs an exception that was caught at the edge of a session or a duty. Thread-safe; at most a few lines a second.
void logUnexpected(std::string_view part, const std::exception&) noexcept;

/// Runs an action; an exception in it is logged instead of ending the process. Returns whether there was none.
template <typename Action> bool runContained(std::string_view part, Action&& action)
{
    try {
        std::forward<Action>(action)();
        return true;
    } catch (const std::exception& error) {
        logUnexpected(part, error);
        return false;
    }
}

/// Wraps a completion handler of a session. The handler keeps the session alive, and an exception in it ends the
/// session (by `endUnexpectedly`) instead of the process.
template <typename Session, typename Handler> auto contained(std::shared_ptr<Session> session, Handler handler)
{
    return [session = std::move(session), handler = std::move(handler)](auto... results) mutable {
        if (!runContained(Session::partName, [&] { handler(*session, results...); }))
            session->endUnexpectedly();
    };
}

} // namespace kumquatbeam
