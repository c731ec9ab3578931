// Package claim grants the exclusive right to send orders (control commands to an endpoint) for
// a resource for a limited time. The only shared component that it needs is an append-only log.
//
// A claim is a record in the log; its offset is the claim's fencing token. The sequence of
// records in the log alone decides who holds a claim: a record takes effect if no other claim of
// the resource took effect at or after the offset at which its writer's next read would have
// started. All readers derive the same result without comparing clocks, except a reader whose
// log no longer retains the records that a claim is based on; it treats that claim as uncertain
// and waits for it.
//
// The duration of a claim is never extended; [Claimer.Renew] acquires a new claim with a higher
// token, and [Claimer.Resume] does so for a holder whose claim has expired meanwhile.
// The holder measures the duration with its own monotonic clock, starting before the
// read on which the record is based and therefore before the append. The wait of a contender
// starts when the read that returned the claim is complete. It consists of the duration of the
// claim, a margin of 1/[SkewDivisor] of the duration, and the grace period. The margin
// compensates for clock rates that differ by up to 1% from true time. This gives the guarantees:
//
//   - At no time are two claims of a resource valid according to their holders.
//   - Tokens of a resource increase from holder to holder.
//   - Lost append responses, log outages, lagging reads and delayed appends can delay a claim
//     but never grant it twice. A log outage delays claims as long as it lasts; each of the
//     others delays a claim by at most the duration, margin and grace period of one claim.
//
// Conditions: the log retains records for much longer than any claim lasts ([Config].MaxTTL,
// which must be the same for all processes), its offsets are contiguous, and the monotonic
// clock does not stop. On some systems it stops while the whole host is suspended. A holder
// that is paused between [Claim.Valid] and sending an order may also send the order after the
// claim expired. A [Fence] protects endpoints against both; for endpoints that ignore tokens, a
// [Reconciler] corrects the effect of such a late order.
package claim
