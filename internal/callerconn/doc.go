// Package callerconn bounds what the connections of callers take of a node's host, whatever callers send.
//
// Guarantees:
//
//   - At most Limits.Connections connections are open. A new one takes the place of the one that has been without a
//     complete request for longest. It is closed only if requests are served on all others.
//   - No request that is being served is broken off.
package callerconn
