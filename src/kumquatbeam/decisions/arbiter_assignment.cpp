#include "kumquatbeam/decisions/arbiter_assignment.hpp"

#include <algorithm>

namespace kumquatbeam {

namespace {

    std::uint64_t appendHash(std::uint64_t hash, std::string_view text)
    {
        constexpr std::uint64_t prime = 1099511628211ULL;
        for (const char character : text) {
            hash ^= static_cast<unsigned char>(character);
            hash *= prime;
        }
        return hash;
    }

    /// The finalizer of MurmurHash3: every input bit affects every output bit.
    std::uint64_t mixBits(std::uint64_t bits)
    {
        constexpr int shift = 33;
        bits ^= bits >> shift;
        bits *= 0xff51afd7ed558ccdULL;
        bits ^= bits >> shift;
        bits *= 0xc4ceb9fe1a85ec53ULL;
        return bits ^ (bits >> shift);
    }

} // namespace

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    constexpr std::uint64_t offsetBasis = 14695981039346656037ULL;
    constexpr std::string_view separator { "\0", 1 };
    return mixBits(appendHash(appendHash(appendHash(offsetBasis, key), separator), candidate));
}

entry_vm_id domain_assignment::arbiterOf(const pool_view& view, const failure_domain_id& domain) const
{
    const bool isDomainListed = std::any_of(view.routers.begin(), view.routers.end(),
        [&](const router_presence& router) { return router.domain == domain; });
    const auto key = view.pool.value + '/' + domain.value;
    const router_presence* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto& router : view.routers) {
        if (!router.isReachable || (isDomainListed && router.domain != domain))
            continue;
        const auto weight = rendezvousWeight(key, router.router.value);
        if (!best || weight > bestWeight) {
            best = &router;
            bestWeight = weight;
        }
    }
    return best ? best->router : entry_vm_id {};
}

} // namespace kumquatbeam
