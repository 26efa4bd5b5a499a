#pragma once

#include "kumquatbeam/checking/canonical_document.hpp"

namespace kumquatbeam {

/// A team's edit of the operators' document: what it started from, what is in force now, and what it wants.
struct document_edit {
    team_id team;
    canonical_document base;
    canonical_document current;
    canonical_document proposed;
};

/// Every reason against publishing an edit, by a three-way comparison:
/// - `StaleRevision`: the section changed since the base, and the edit would put another value in its place. That is so
///   where both changed it, and where the edit only carries the old value along and would revert the other's change.
/// - `NotSectionOwner`: the edit changes, adds or removes a section of another team. Who owns a section is what the
/// base
///   says; for a new section, what the edit says.
std::vector<failure> checkEdit(const document_edit&);

} // namespace kumquatbeam
