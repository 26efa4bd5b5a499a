#pragma once

namespace kumquatbeam {

/// Part of its objective that a call may wait before an engine turns to it. The rest of the objective is for the call's
/// own prompt and for the steps to the first event.
///
/// `shareUsage` is how the call's account stands against its share (see `account_shares::shareUsage`), and `pressure`
/// the mean wait at the pool's engines as a part of the objective. While engines have little to do, shares play no
/// part. Under pressure, accounts that took more than their share are refused earlier, so those that are owed something
/// find room. A negative part refuses the call whatever the wait: the account took so much more that others go short by
/// it.
double waitFractionOf(double shareUsage, double pressure);

} // namespace kumquatbeam
