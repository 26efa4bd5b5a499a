#include "kumquatbeam/settings/document_checks.hpp"

#include "kumquatbeam/types/wire_key.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <unordered_map>

namespace kumquatbeam {

namespace {

    /// A lease must survive the loss of one renewal.
    constexpr int minPeriodsPerLease = 2;

    constexpr std::string_view digestDigits = "0123456789abcdef";

    std::string settingPlace(std::string_view kind, const std::string& name, std::string_view key)
    {
        std::string place = "[";
        return place.append(kind).append(" ").append(name).append("] ").append(key);
    }

    void checkReferences(const fleet_document& document, std::vector<failure>& faults)
    {
        for (const auto& [id, endpoint] : document.endpoints) {
            if (!document.pools.contains(endpoint.pool))
                faults.push_back({ failure_kind::UnknownReference, settingPlace("endpoint", id.value, "pool"),
                    endpoint.pool.value, "a pool of this document" });
        }
    }

    void checkCredentials(const fleet_document& document, std::vector<failure>& faults)
    {
        std::unordered_map<std::string, std::string> firstUsers;
        for (const auto& [id, account] : document.accounts) {
            const auto place = settingPlace("account", id.value, "credential-sha256");
            const auto& digest = account.credentialDigest;
            if (digest.find_first_not_of(digestDigits) != std::string::npos)
                faults.push_back({ failure_kind::MalformedValue, place, digest, "lower-case hexadecimal digits" });
            const auto [firstUser, isNew] = firstUsers.emplace(digest, id.value);
            if (!isNew && !digest.empty())
                faults.push_back({ failure_kind::DuplicateName, place, firstUser->second, "a unique digest" });
        }
    }

    void checkLeases(const fleet_document& document, std::vector<failure>& faults)
    {
        for (const auto& [id, pool] : document.pools) {
            const auto least = pool.exchangePeriod * minPeriodsPerLease;
            if (pool.leaseDuration < least)
                faults.push_back({ failure_kind::ValueOutOfRange, settingPlace("pool", id.value, "lease-ms"),
                    std::to_string(pool.leaseDuration.count()), "at least " + std::to_string(least.count()) + " ms" });
        }
    }

    template <typename Record> wire_key nameKeyOf(const Record& record)
    {
        return wireKeyOf(record.id);
    }

    template <typename Id, typename Record>
    void checkKeys(std::string_view kind, const std::map<Id, Record>& records, wire_key (*keyOf)(const Record&),
        std::vector<failure>& faults)
    {
        std::unordered_map<std::uint32_t, std::string> firstUsers;
        for (const auto& [id, record] : records) {
            const auto [firstUser, isNew] = firstUsers.emplace(keyOf(record).value, id.value);
            if (!isNew)
                faults.push_back({ failure_kind::DuplicateName, settingPlace(kind, id.value, ""), firstUser->second,
                    "a name with a unique wire key" });
        }
    }

    void checkWireKeys(const fleet_document& document, std::vector<failure>& faults)
    {
        checkKeys<client_account_id, client_account>("account", document.accounts, nameKeyOf, faults);
        checkKeys<pool_id, endpoint_pool>("pool", document.pools, nameKeyOf, faults);
        checkKeys<endpoint_id, endpoint_description>("endpoint", document.endpoints, nameKeyOf, faults);
        checkKeys<endpoint_id, endpoint_description>("endpoint", document.endpoints, addressKeyOf, faults);
    }

    using document_check = void (*)(const fleet_document&, std::vector<failure>&);

    constexpr auto documentChecks
        = std::to_array<document_check>({ checkReferences, checkCredentials, checkLeases, checkWireKeys });

} // namespace

void checkDocument(const fleet_document& document, std::vector<failure>& faults)
{
    for (const auto check : documentChecks)
        check(document, faults);
}

} // namespace kumquatbeam
