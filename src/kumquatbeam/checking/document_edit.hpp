#pragma once

#include "kumquatbeam/checking/canonical_document.hpp"

namespace kumquatbeam {

/// A team's edit of the operators' document: the document it started from, the one in force now and the proposed one.
struct document_edit {
    team_id team;
    canonical_document base;
    canonical_document current;
    canonical_document proposed;
};

/// Returns every reason to refuse an edit, found by a three-way comparison:
/// - `StaleRevision`: the section in force changed since the base, and the edit would overwrite it with another value.
///   The edit may have changed the section too, or may still contain the old value and would revert the other change.
/// - `NotSectionOwner`: the edit changes, adds or removes a section of another team. The base names the owner of a
///   section, or the proposed document if the section is new.
std::vector<failure> checkEdit(const document_edit&);

} // namespace kumquatbeam
