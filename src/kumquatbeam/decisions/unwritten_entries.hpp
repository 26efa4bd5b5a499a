#pragma once

#include "kumquatbeam/settings/endpoint_directory.hpp"
#include "kumquatbeam/types/time.hpp"

#include <map>
#include <vector>

namespace kumquatbeam {

/// Finds the endpoints that only a restored copy of the directory still announces.
///
/// Live endpoints write their entries again and again. One whose entry still has the revision of the copy after that
/// time has left, perhaps before any router could see it. If most entries of a pool are unwritten, their endpoints
/// cannot write, or the directory does not count repeated writes, and nothing can be told of them.
class unwritten_entries {
public:
    using endpoint_map = std::map<endpoint_id, announced_endpoint>;

    /// Starts with the first read of a restored directory. A read that begins at `dueAt` or later shows what live
    /// endpoints have written.
    void begin(const endpoint_directory& restored, time_point dueAt);

    /// Starts the time anew for the entries that are still unwritten, since endpoints could not write lately.
    void postpone(time_point dueAt);

    /// Takes in another read. Returns the endpoints among the used ones that must be taken as gone.
    std::vector<endpoint_id> findGone(
        const endpoint_directory& directory, time_point readStartedAt, const endpoint_map& used);

private:
    /// Revision of each unwritten entry in the copy.
    std::map<endpoint_id, revision> m_revisions;
    time_point m_dueAt = never;
    /// When the entries of endpoints that had left have expired.
    time_point m_endsAt = never;
};

} // namespace kumquatbeam
