#pragma once

#include <set>
#include <string>
#include <vector>

namespace kumquatbeam {

/// Remembers which of its seeds a starting router has heard from.
class heard_seeds {
public:
    /// `seeds` may include the router's own address.
    heard_seeds(std::vector<std::string> seeds, std::string ownAddress);

    void setSeeds(std::vector<std::string>);

    /// Remembers a heartbeat from this address.
    void record(const std::string& address);

    /// Whether every other seed has been heard. A router that is itself the only seed never knows whether others exist;
    /// one without seeds has no others.
    bool areComplete() const;

private:
    std::string m_ownAddress;
    std::vector<std::string> m_seeds;
    std::set<std::string> m_heard;
};

} // namespace kumquatbeam
