// Package member maintains, on each node, a list of the other nodes and of
// their liveness, without a coordination service.
//
// The platform publishes the roster, a list of the hosts that may be members.
// The roster lags behind reality, so direct probes and gossip keep the view
// current. Each node makes about one exchange a second with a fixed set of
// peers: its successors on a hash ring, which it monitors, and a logarithmic
// number of fingers, through which updates spread. A suspicion needs two
// observers before it takes effect, and the suspected member can refute it. A
// rate-limited comparison of digests repairs differences that gossip leaves.
//
// A view may be wrong about any member at any time, so no safety property may
// depend on it. The package maintains these invariants:
//
//   - The version of a node's view never decreases. A view contains each ID
//     once, sorted by ID.
//   - A node is never Dead in its own view.
//   - While a view holds one incarnation of a member, the member's Seq never
//     decreases and Leaving is not reverted. Only the member itself raises its
//     Seq. (A member that was removed from the roster is also shown as Leaving,
//     until it is listed again or Dead.)
//   - One observer alone never makes a member Suspect or Dead while there is
//     another live member that could check it.
//   - A member that has stopped is Dead in every connected view within
//     DetectBound, or within DomainBound if a whole failure domain stops at once.
//   - A member that responds to its peers is not Dead for longer than
//     RejoinBound in the view of a node that can reach it.
//   - A member that leaves is Leaving or Dead in every connected view within
//     LeaveBound. A node that was disconnected at that time shows it so within
//     DetectBound of reconnecting.
//   - The number of members that are not on the roster is limited.
//
// The time bounds hold under the conditions of the tests: 1,000 members, up to
// 5% message loss, and a network over which updates can reach every node.
package member
