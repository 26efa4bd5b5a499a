#pragma once

#include <iterator>
#include <list>
#include <unordered_map>

namespace kumquatbeam {

/// The connections that wait for their callers, in the order in which their waiting began.
template <typename Id> class waiting_order {
public:
    /// A connection begins to wait; if it already did, it begins anew.
    void begin(Id id)
    {
        end(id);
        m_places.emplace(id, m_order.insert(m_order.end(), id));
    }

    /// A connection no longer waits.
    void end(Id id)
    {
        const auto found = m_places.find(id);
        if (found == m_places.end())
            return;
        m_order.erase(found->second);
        m_places.erase(found);
    }

    bool isEmpty() const { return m_order.empty(); }

    /// The waiting connections; the one that has waited longest is the first.
    const std::list<Id>& longestFirst() const { return m_order; }

private:
    std::list<Id> m_order;
    std::unordered_map<Id, typename std::list<Id>::iterator> m_places;
};

} // namespace kumquatbeam
