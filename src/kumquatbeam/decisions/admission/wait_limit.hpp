#pragma once

namespace kumquatbeam {

/// Fraction of its latency target that a call may wait before an engine starts its prefill. The rest of the target is
/// for the prefill of the call's own prompt and for the steps to the first event.
///
/// `shareUsage` is the admitted rate of the call's account relative to its fair share (see
/// `account_shares::shareUsage`), and `pressure` is the mean wait at the pool's engines as a fraction of the target.
/// Under low pressure, share usage has no effect. Under high pressure, accounts above their share are refused earlier,
/// which leaves capacity for those below it. A negative fraction refuses the call whatever the wait: the account
/// exceeds its share so far that other accounts get less than theirs.
double waitFractionOf(double shareUsage, double pressure);

} // namespace kumquatbeam
