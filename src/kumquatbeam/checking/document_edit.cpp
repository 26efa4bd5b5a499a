#include "kumquatbeam/checking/document_edit.hpp"

#include <set>

namespace kumquatbeam {

namespace {

    const canonical_section* sectionIn(const canonical_document& document, const section_name& name)
    {
        const auto found = document.find(name);
        return found == document.end() ? nullptr : &found->second;
    }

    bool isSame(const canonical_section* left, const canonical_section* right)
    {
        return left && right ? *left == *right : left == right;
    }

    /// The values that differ, or whether the section was added or removed, as text.
    std::string differenceOf(const section_name& name, const canonical_section* before, const canonical_section* after)
    {
        canonical_document left;
        canonical_document right;
        if (before)
            left.emplace(name, *before);
        if (after)
            right.emplace(name, *after);
        std::string text;
        for (const auto& change : compareDocuments(left, right))
            text.append(text.empty() ? "" : "; ").append(describe(change));
        return text;
    }

    std::set<section_name> sectionsOf(const document_edit& edit)
    {
        std::set<section_name> names;
        for (const auto* document : { &edit.base, &edit.current, &edit.proposed }) {
            for (const auto& [name, section] : *document)
                names.insert(name);
        }
        return names;
    }

    void checkSection(const document_edit& edit, const section_name& name, std::vector<failure>& faults)
    {
        const auto* base = sectionIn(edit.base, name);
        const auto* current = sectionIn(edit.current, name);
        const auto* proposed = sectionIn(edit.proposed, name);
        const auto place = "[" + toText(name) + "]";
        if (!isSame(base, current) && !isSame(current, proposed))
            faults.push_back({ failure_kind::StaleRevision, place, differenceOf(name, current, proposed),
                "an edit based on the document in force, which has " + differenceOf(name, base, current) });
        if (isSame(base, proposed))
            return;
        const auto& owner = (base ? base : proposed)->owner;
        if (owner != edit.team)
            faults.push_back({ failure_kind::NotSectionOwner, place, edit.team.value, owner.value });
    }

} // namespace

std::vector<failure> checkEdit(const document_edit& edit)
{
    std::vector<failure> faults;
    for (const auto& name : sectionsOf(edit))
        checkSection(edit, name, faults);
    return faults;
}

} // namespace kumquatbeam
