#pragma once

namespace kumquatbeam {

/// Part of its objective that a call may wait before an engine turns to it, by how its account stands against its share
/// (see `account_shares::standing`). The rest of the objective is for the call's own prompt and for the steps to the
/// first event.
///
/// Accounts that took more than their share are refused earlier, so those that are owed something find room. A negative
/// part refuses the call whatever the wait: the account took so much more that others go short by it.
double waitPartOf(double standing);

} // namespace kumquatbeam
