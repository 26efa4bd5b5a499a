#pragma once

#include "kumquatbeam/settings/fleet_document.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatbeam {

/// Heading of a section of the operators' document, `[kind name]`.
struct section_name {
    std::string kind;
    std::string name;

    friend bool operator==(const section_name&, const section_name&) = default;
    friend auto operator<=>(const section_name&, const section_name&) = default;
};

/// A section in canonical form: every key with its value, including defaults, so that equivalent texts compare equal.
struct canonical_section {
    team_id owner;
    std::map<std::string_view, std::string> values;

    friend bool operator==(const canonical_section&, const canonical_section&) = default;
};

using canonical_document = std::map<section_name, canonical_section>;

/// The canonical form of an accepted document.
canonical_document canonicalFormOf(const fleet_document&);

/// Kind of a difference: in the list of sections, or in the value of a key.
enum class document_difference_kind {
    SectionAdded,
    SectionRemoved,
    ValueChanged,
};

/// A difference between two documents in canonical form.
struct document_difference {
    document_difference_kind kind = document_difference_kind::ValueChanged;
    section_name section;
    /// The key and its two values, for `ValueChanged`.
    std::string_view key {};
    std::string before {};
    std::string after {};
};

/// Returns every difference between two documents.
std::vector<document_difference> compareDocuments(const canonical_document& before, const canonical_document& after);

/// A human-readable line.
std::string describe(const document_difference&);

/// The heading without its brackets: `kind name`.
std::string toText(const section_name&);

/// Slots of each pool: the sum over its endpoints.
std::map<pool_id, slot_count> slotsOfPools(const fleet_document&);

} // namespace kumquatbeam
