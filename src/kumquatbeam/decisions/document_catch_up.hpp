#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kumquatbeam {

/// Keeps what peers have said about their accepted documents. Decides whom to ask for a newer one, and whether a router
/// that has just started has heard enough to put a document in force.
class document_catch_up {
public:
    /// Longest wait for peers that have not been heard, from the first document on that could be put in force.
    static constexpr std::chrono::milliseconds startupWaitLimit { 3000 };

    /// Time that one peer has to send its document.
    static constexpr std::chrono::milliseconds offerTimeout { 1000 };

    /// Time that a running router gives its own watch at the platform before it asks a peer.
    static constexpr std::chrono::milliseconds platformWatchGracePeriod { 2000 };

    /// The peers that are to be heard before a first document is put in force.
    void setExpectedPeers(std::set<entry_vm_id> peers);

    /// A peer said which document it has accepted.
    void recordAcceptedRevision(const entry_vm_id& peer, revision accepted);

    /// The connection to a peer is gone, and what it said with it.
    void removePeer(const entry_vm_id& peer);

    /// A document was read but refused: no peer is asked for that revision.
    void recordRefused(revision);

    bool hasRefused(revision candidate) const { return m_refused.contains(candidate); }

    /// The newest refused revision, or zero.
    revision newestRefused() const;

    /// A document came into force; what was noted about older ones is forgotten.
    void recordActivated(revision);

    /// Whether a first document may be put in force: every expected peer has been heard, or the wait has ended, and no
    /// connected peer holds a newer one.
    bool mayStartWith(revision candidate, time_point now);

    /// The peer to ask for a document newer than `held` now, if there is one. It is then given time to answer.
    std::optional<entry_vm_id> nextPeerToAsk(revision currentRevision, bool isStarting, time_point now);

    /// The offer that was asked for has come.
    void recordOffer(const entry_vm_id& from);

    /// When `mayStartWith` or `nextPeerToAsk` may have another answer.
    time_point nextDeadline() const;

private:
    bool hasRevisionFromAll() const;
    bool isEligible(revision offered, revision currentRevision) const
    {
        return offered > currentRevision && !m_refused.contains(offered);
    }

    std::optional<std::set<entry_vm_id>> m_expectedPeers;
    std::map<entry_vm_id, revision> m_acceptedRevisions;
    std::set<revision> m_refused;
    std::set<entry_vm_id> m_askedThisRound;
    std::optional<entry_vm_id> m_askedPeer;
    time_point m_offerDeadline = never;
    time_point m_nextAskAt = never;
    time_point m_startDeadline = never;
    bool m_hasStartupWaitEnded = false;
};

} // namespace kumquatbeam
