// Package retry repeats failed calls within a budget, so that a brownout does not become a
// retry storm.
//
// Guarantees:
//
//   - Load. In any period the retries of one Policy are at most Ratio times the first attempts
//     that succeeded, plus Reserve, plus MinPerSecond for each second. With Ratio 0.1 the load
//     amplification stays below 1.1 in the long run, whatever share of the endpoints fails.
//   - Chains. Only the hop nearest to the caller retries. It informs the hops downstream, which
//     return failures without retrying, so that the retry budgets of several hops do not
//     multiply.
//   - Safety. A call is repeated only if it did not run, or if the caller declared it
//     idempotent. An error without a run state is treated as one of a call that may have run.
//   - Deadlines. No retry starts that cannot finish before the caller's deadline. When no retry
//     follows, the call returns immediately, with the reason and the time after which the
//     caller may repeat it.
//
// Hedging, which sends a second attempt before the first one has failed, is not implemented: a
// prompt costs too much to run twice to reduce tail latency.
package retry
