#pragma once

#include "kumquatbeam/settings/endpoint_directory.hpp"
#include "kumquatbeam/types/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kumquatbeam {

/// Remembers the endpoints that have left the directory, so that a directory restored from an older copy does not bring
/// them back. An entry of the copy is held, that is, not used, until it is written again or has had time to expire.
class departed_endpoints {
public:
    /// Time for which an entry of a restored directory is held. The entry of a dead endpoint expires after three missed
    /// writes, within this time.
    static constexpr std::chrono::seconds holdTime { 10 };

    /// Time for which an endpoint is remembered after it was dropped. Copies from which a directory is restored are
    /// some seconds old.
    static constexpr std::chrono::minutes retention { 10 };

    /// Remembers an endpoint that is dropped.
    void record(const announced_endpoint&, time_point now);

    /// Remembers an endpoint that is dropped, and holds its entry in this directory.
    void hold(const announced_endpoint&, const endpoint_directory&, time_point now);

    /// Holds the remembered endpoints that a restored directory contains; returns their ids.
    std::vector<endpoint_id> holdThoseIn(const endpoint_directory& restored, time_point now);

    /// Whether the entry with this endpoint in the directory must not be used.
    bool isHeld(const announced_endpoint&, const endpoint_directory&, time_point now) const;

    /// Forgets an endpoint that is used again. Returns whether it must be taken as draining: the same incarnation was
    /// draining when it was dropped, and its entry has been held since.
    bool release(const announced_endpoint&);

private:
    struct departure {
        std::int64_t incarnation = 0;
        bool isDraining = false;
        time_point forgetAt = never;
        /// @{ Set while the entry of a restored directory is held: until when, and the revision of that entry.
        std::optional<time_point> heldUntil {};
        revision heldRevision {};
        /// @}
    };

    std::map<endpoint_id, departure> m_departures;
};

} // namespace kumquatbeam
