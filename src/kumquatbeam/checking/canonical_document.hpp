#pragma once

#include "kumquatbeam/settings/fleet_document.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatbeam {

/// A section of the operators' document by its heading, `[kind name]`.
struct section_name {
    std::string kind;
    std::string name;

    friend bool operator==(const section_name&, const section_name&) = default;
    friend auto operator<=>(const section_name&, const section_name&) = default;
};

/// What a section says: every key with its value, defaults filled in, so that texts of one meaning compare equal.
struct canonical_section {
    team_id owner;
    std::map<std::string_view, std::string> values;

    friend bool operator==(const canonical_section&, const canonical_section&) = default;
};

using canonical_document = std::map<section_name, canonical_section>;

/// The meaning of an accepted document.
canonical_document canonicalFormOf(const fleet_document&);

/// What became of a section or of one of its keys.
enum class document_difference_kind {
    SectionAdded,
    SectionRemoved,
    ValueChanged,
};

/// One difference in meaning between two documents.
struct document_difference {
    document_difference_kind kind = document_difference_kind::ValueChanged;
    section_name section;
    /// The key and its values, for `ValueChanged`.
    std::string_view key {};
    std::string before {};
    std::string after {};
};

/// Every difference in meaning, by section.
std::vector<document_difference> compareDocuments(const canonical_document& before, const canonical_document& after);

/// One line for people.
std::string describe(const document_difference&);

/// `kind name`, as the heading spells it.
std::string toText(const section_name&);

/// Slots of each pool: the sum over its endpoints.
std::map<pool_id, slot_count> slotsOfPools(const fleet_document&);

} // namespace kumquatbeam
