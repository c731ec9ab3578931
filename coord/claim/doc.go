// Package claim grants the exclusive right to send orders for a resource for a limited time.
// The only shared component that it needs is an append-only log.
//
// A claim is a record in the log; its offset is the claim's fencing token. The order of the log
// alone decides who holds a claim: a record takes effect if no other claim of the resource took
// effect at or after the offset up to which its writer had read. All readers derive the same
// result without comparing clocks.
//
// The duration of a claim is never extended; [Claimer.Renew] acquires a new claim with a higher
// token. The holder measures the duration with its own monotonic clock, starting before the
// read on which the record is based and therefore before the append. A contender waits for the
// whole duration, starting when the read that returned the claim was complete, plus
// 1/[SkewDivisor] of it, which compensates for clock rates that differ by up to 1% from true
// time, plus the grace period. This gives the guarantees:
//
//   - At no time do two holders of a resource both find their claim valid.
//   - Tokens of a resource increase from holder to holder.
//   - Lost append responses, log outages, lagging reads and delayed appends can delay a claim,
//     each by at most the duration of one claim, but never grant it twice.
//
// Conditions: the log retains records for much longer than any claim lasts ([Config].MaxTTL,
// which must be the same for all processes), its offsets are contiguous, and the monotonic
// clock does not stop. On some systems it stops while the whole host is suspended. A holder
// that is paused between [Claim.Valid] and sending an order also sends it late. A [Fence]
// protects endpoints against both; for endpoints that ignore tokens, a [Reconciler] corrects
// the effect of a late order.
package claim
