#include "kumquatbeam/decisions/heard_seeds.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

heard_seeds::heard_seeds(std::vector<std::string> seeds, std::string ownAddress)
    : m_ownAddress(std::move(ownAddress))
    , m_seeds(std::move(seeds))
{
}

void heard_seeds::setSeeds(std::vector<std::string> seeds)
{
    m_seeds = std::move(seeds);
}

void heard_seeds::record(const std::string& address)
{
    if (std::find(m_seeds.begin(), m_seeds.end(), address) != m_seeds.end())
        m_heard.insert(address);
}

bool heard_seeds::areComplete() const
{
    if (m_seeds.empty())
        return true;
    const auto isOwn = [&](const std::string& seed) { return seed == m_ownAddress; };
    if (std::all_of(m_seeds.begin(), m_seeds.end(), isOwn))
        return false;
    return std::all_of(
        m_seeds.begin(), m_seeds.end(), [&](const std::string& seed) { return isOwn(seed) || m_heard.contains(seed); });
}

} // namespace kumquatbeam
