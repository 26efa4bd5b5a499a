#pragma once

namespace kumquatbeam {

/// Calls the handler for the alternative that a variant holds; alternatives without a handler are ignored.
template <typename... Handlers> struct event_handlers : Handlers... {
    using Handlers::operator()...;

    template <typename Event> void operator()(const Event&) const { }
};

/// Deduction guide for compilers that do not deduce template arguments of aggregates.
template <typename... Handlers> event_handlers(Handlers...) -> event_handlers<Handlers...>;

} // namespace kumquatbeam
