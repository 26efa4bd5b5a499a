#include "kumquatbeam/decisions/document_catch_up.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

void document_catch_up::setExpectedPeers(std::set<entry_vm_id> peers)
{
    m_expectedPeers = std::move(peers);
}

void document_catch_up::recordAcceptedRevision(const entry_vm_id& peer, revision accepted)
{
    m_acceptedRevisions.insert_or_assign(peer, accepted);
}

void document_catch_up::removePeer(const entry_vm_id& peer)
{
    m_acceptedRevisions.erase(peer);
    recordOffer(peer);
}

void document_catch_up::recordRefused(revision refused)
{
    m_refused.insert(refused);
}

revision document_catch_up::newestRefused() const
{
    return m_refused.empty() ? revision {} : *m_refused.rbegin();
}

void document_catch_up::recordActivated(revision accepted)
{
    std::erase_if(m_refused, [&](const revision& refused) { return refused <= accepted; });
    m_triedPeers.clear();
    m_startDeadline = never;
    m_hasStartupWaitEnded = true;
    m_nextAskAt = never;
}

bool document_catch_up::mayStartWith(revision candidate, time_point now)
{
    if (m_startDeadline == never && !m_hasStartupWaitEnded)
        m_startDeadline = now + startupWaitLimit;
    if (now >= m_startDeadline) {
        m_hasStartupWaitEnded = true;
        m_startDeadline = never;
    }
    const bool isNewerKnown = std::any_of(m_acceptedRevisions.begin(), m_acceptedRevisions.end(),
        [&](const auto& entry) { return isEligible(entry.second, candidate); });
    return !isNewerKnown && (hasRevisionFromAll() || m_hasStartupWaitEnded);
}

std::optional<entry_vm_id> document_catch_up::nextPeerToAsk(revision currentRevision, bool isStarting, time_point now)
{
    if (m_askedPeer && now < m_offerDeadline)
        return std::nullopt;
    m_askedPeer.reset();
    m_offerDeadline = never;
    std::optional<entry_vm_id> best;
    bool hasEligiblePeer = false;
    for (const auto& [peer, offered] : m_acceptedRevisions) {
        if (!isEligible(offered, currentRevision))
            continue;
        hasEligiblePeer = true;
        if (!m_triedPeers.contains(peer) && (!best || m_acceptedRevisions.at(*best) < offered))
            best = peer;
    }
    if (!hasEligiblePeer) {
        m_nextAskAt = never;
        return std::nullopt;
    }
    if (m_nextAskAt == never)
        m_nextAskAt = isStarting ? now : now + platformWatchGracePeriod;
    if (now < m_nextAskAt)
        return std::nullopt;
    if (!best) {
        // No peer with a newer document has sent it: ask them all again after a delay.
        m_triedPeers.clear();
        m_nextAskAt = now + offerTimeout;
        return std::nullopt;
    }
    m_askedPeer = best;
    m_triedPeers.insert(*best);
    m_offerDeadline = now + offerTimeout;
    return best;
}

void document_catch_up::recordOffer(const entry_vm_id& from)
{
    if (m_askedPeer != from)
        return;
    m_askedPeer.reset();
    m_offerDeadline = never;
}

time_point document_catch_up::nextDeadline() const
{
    return m_askedPeer ? std::min(m_offerDeadline, m_startDeadline) : std::min(m_nextAskAt, m_startDeadline);
}

bool document_catch_up::hasRevisionFromAll() const
{
    return m_expectedPeers
        && std::all_of(m_expectedPeers->begin(), m_expectedPeers->end(),
            [&](const entry_vm_id& peer) { return m_acceptedRevisions.contains(peer); });
}

} // namespace kumquatbeam
