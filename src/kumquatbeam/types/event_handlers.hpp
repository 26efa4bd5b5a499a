#pragma once

namespace kumquatbeam {

/// Calls the handler for the alternative that a variant holds; alternatives without a handler are let go.
template <typename... Handlers> struct event_handlers : Handlers... {
    using Handlers::operator()...;

    template <typename Event> void operator()(const Event&) const { }
};

/// Needed by compilers that do not deduce the arguments of aggregates.
template <typename... Handlers> event_handlers(Handlers...) -> event_handlers<Handlers...>;

} // namespace kumquatbeam
