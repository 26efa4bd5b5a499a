#include "kumquatbeam/decisions/document_catch_up.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

void document_catch_up::setExpectedPeers(std::set<entry_vm_id> peers)
{
    m_expected = std::move(peers);
}

void document_catch_up::recordAcceptedRevision(const entry_vm_id& peer, revision accepted)
{
    m_heard.insert_or_assign(peer, accepted);
}

void document_catch_up::removePeer(const entry_vm_id& peer)
{
    m_heard.erase(peer);
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
    m_askedThisRound.clear();
    m_startBy = never;
    m_isWaitOver = true;
    m_askFrom = never;
}

bool document_catch_up::mayStartWith(revision candidate, time_point now)
{
    if (m_startBy == never && !m_isWaitOver)
        m_startBy = now + startupWaitLimit;
    if (now >= m_startBy) {
        m_isWaitOver = true;
        m_startBy = never;
    }
    const bool isNewerKnown = std::any_of(
        m_heard.begin(), m_heard.end(), [&](const auto& entry) { return isWanted(entry.second, candidate); });
    return !isNewerKnown && (hasHeardAll() || m_isWaitOver);
}

std::optional<entry_vm_id> document_catch_up::nextPeerToAsk(revision held, bool isStarting, time_point now)
{
    if (m_asked && now < m_offerBy)
        return std::nullopt;
    m_asked.reset();
    m_offerBy = never;
    std::optional<entry_vm_id> best;
    bool isAnyWanted = false;
    for (const auto& [peer, offered] : m_heard) {
        if (!isWanted(offered, held))
            continue;
        isAnyWanted = true;
        if (!m_askedThisRound.contains(peer) && (!best || m_heard.at(*best) < offered))
            best = peer;
    }
    if (!isAnyWanted) {
        m_askFrom = never;
        return std::nullopt;
    }
    if (m_askFrom == never)
        m_askFrom = isStarting ? now : now + watchAllowance;
    if (now < m_askFrom)
        return std::nullopt;
    if (!best) {
        // Every peer that has a newer one was asked in vain: begin again after a pause.
        m_askedThisRound.clear();
        m_askFrom = now + offerTimeout;
        return std::nullopt;
    }
    m_asked = best;
    m_askedThisRound.insert(*best);
    m_offerBy = now + offerTimeout;
    return best;
}

void document_catch_up::recordOffer(const entry_vm_id& from)
{
    if (m_asked != from)
        return;
    m_asked.reset();
    m_offerBy = never;
}

time_point document_catch_up::nextDeadline() const
{
    return m_asked ? std::min(m_offerBy, m_startBy) : std::min(m_askFrom, m_startBy);
}

bool document_catch_up::hasHeardAll() const
{
    return m_expected && std::all_of(m_expected->begin(), m_expected->end(), [&](const entry_vm_id& peer) {
        return m_heard.contains(peer);
    });
}

} // namespace kumquatbeam
