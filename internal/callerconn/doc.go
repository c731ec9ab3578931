// Package callerconn bounds what the connections of callers take of a node's host, whatever callers send and whether
// they read.
//
// Guarantees:
//
//   - At most Limits.Connections connections are open. A new one takes the place of the one that has been without a
//     complete request for longest, or else of one whose caller takes no answer. It is closed only if requests are
//     served on all others.
//   - A head is bounded before the HTTP server parses it. What heads take beyond the size of ordinary ones comes from one
//     pool, reserved as they arrive. A head over the limit is refused with 431, one without room with 503; neither
//     has run. A head of ordinary size needs nothing of the pool.
//   - An answer of which the caller takes nothing for Limits.StallTime is broken off.
//   - No request that is being served is broken off otherwise.
package callerconn
