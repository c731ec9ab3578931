// Package retry retries failed calls within a budget, so that retries do not overload endpoints
// that already fail. A Policy retries a call by making further attempts; the caller repeats a
// call by starting a new one.
//
// Guarantees:
//
//   - Load. In any period the retries charged to one Budget are at most Ratio times the first
//     attempts that succeeded, plus Capacity, plus AddedPerSecond for each second. With Ratio 0.1
//     the load amplification (attempts per call) stays below 1.1 in the long run, whatever share
//     of the endpoints fails, if AddedPerSecond is small compared with the rate of calls.
//   - Chains. Only the hop nearest to the caller retries. It informs the hops downstream, which
//     return failures without retrying, so that the retry budgets of several hops do not
//     multiply.
//   - Safety. A call is retried only if it did not run, or if the caller declared it
//     idempotent. An error without a run state is treated as one of a call that may have run.
//   - Deadlines. No retry starts that cannot finish, given Call.MinTime, before the caller's
//     deadline. When no retry follows, the call returns immediately, with the reason and the
//     time after which the caller may repeat it.
//
// Hedging, which sends a second attempt before the first one has failed, is not implemented: a
// prompt costs too much to run twice to reduce tail latency.
package retry
