// Package claim grants the exclusive right to give orders about a resource for
// a limited time, over a shared append-only log and nothing else.
//
// A claim is a record in the log; its offset is the claim's fencing token. The
// log's order alone decides who has a claim: a record takes effect if no other
// claim of the resource took effect since the offset up to which its writer had
// read. All readers come to the same result without comparing clocks.
//
// There are no renewals. The holder counts the claim's time by its own
// monotonic clock from before the read on which its record is based, thus from
// before the append. A contender counts the whole time from when the read that
// showed it the claim had returned, and adds 1/[SkewDivisor] of it, so that
// clocks whose rates differ by up to 1% from true time do no harm, and the
// grace period. Hence:
//
//   - At no time do two holders of a resource both find their claim valid.
//   - Tokens of a resource grow from holder to holder.
//   - Lost append answers, log outages, lagging reads and delayed appends can
//     delay a claim, by a claim's time at most for each, never grant it twice.
//
// Conditions: records are retained for much longer than any claim lasts
// ([Config].MaxTTL, the same for all), the log's offsets have no holes, and the monotonic clock
// does not stop. A host that is suspended as a whole stops it on some systems,
// and a holder that is paused between [Claim.Valid] and sending is late all the
// same. Endpoints guard against both by a [Fence]; for endpoints that ignore
// tokens a [Reconciler] corrects what a late order did.
package claim
