#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kumquatbeam {

/// Tracks the document revisions that peers have accepted. Decides which peer to ask for a newer document, and when a
/// starting router may activate its first document.
class document_catch_up {
public:
    /// Maximum wait for peers that have not reported their revision, counted from the first document that could be
    /// activated.
    static constexpr std::chrono::milliseconds startupWaitLimit { 3000 };

    /// Time within which a peer must send the requested document.
    static constexpr std::chrono::milliseconds offerTimeout { 1000 };

    /// Time that a running router waits for its own watch on the platform before it asks a peer.
    static constexpr std::chrono::milliseconds platformWatchGracePeriod { 2000 };

    /// Sets the peers whose revisions are needed before a first document is activated.
    void setExpectedPeers(std::set<entry_vm_id> peers);

    void recordAcceptedRevision(const entry_vm_id& peer, revision accepted);

    /// Discards the state of a peer whose connection was lost.
    void removePeer(const entry_vm_id& peer);

    /// Records that a document was read but refused; no peer is asked for that revision.
    void recordRefused(revision);

    bool hasRefused(revision candidate) const { return m_refused.contains(candidate); }

    /// The newest refused revision, or zero.
    revision newestRefused() const;

    /// Records that a document was activated, and discards the refused revisions up to it.
    void recordActivated(revision);

    /// Whether a first document may be activated: no connected peer has a newer one, and either every expected peer has
    /// reported its revision or the wait has ended.
    bool mayStartWith(revision candidate, time_point now);

    /// The peer to ask now for a document newer than `currentRevision`, if there is one. No other peer is asked until
    /// it has answered or `offerTimeout` has passed.
    std::optional<entry_vm_id> nextPeerToAsk(revision currentRevision, bool isStarting, time_point now);

    /// Records that a peer has sent the requested document.
    void recordOffer(const entry_vm_id& from);

    /// When the result of `mayStartWith` or `nextPeerToAsk` may change.
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
    std::set<entry_vm_id> m_triedPeers;
    std::optional<entry_vm_id> m_askedPeer;
    time_point m_offerDeadline = never;
    time_point m_nextAskAt = never;
    time_point m_startDeadline = never;
    bool m_hasStartupWaitEnded = false;
};

} // namespace kumquatbeam
