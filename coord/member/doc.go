// Package member maintains, on each node, a list of all nodes, including
// itself, and of their states, without a coordination service.
//
// The platform publishes the roster, a list of the hosts that may be members.
// Changes reach the roster with a delay, so direct probes and gossip keep the
// view current. Each node makes about one exchange a second with one of a fixed
// set of peers: its successors on a hash ring, and the members at power-of-two
// distances on the ring (the fingers), whose number is logarithmic. Exchanges
// with both detect failures and spread updates. A suspicion needs two observers
// before it takes effect, and the suspected member can refute it. A rate-limited
// comparison of digests repairs differences that gossip leaves.
//
// A view may be wrong about any member at any time, so no safety property may
// depend on it. The package maintains these invariants:
//
//   - The version of a node's view never decreases. A view contains each ID
//     once, sorted by ID.
//   - A node is never Dead in its own view.
//   - While a view holds one incarnation of a member, the member's Seq never
//     decreases and Leaving is not reverted. Only the member itself raises its
//     Seq. (A member is also shown as Leaving while it is missing from the roster
//     after having been listed, or while the roster marks it as leaving. If its
//     incarnation was unknown or it was Dead at that time, a later roster can
//     revert this.)
//   - One observer alone never makes a member Suspect or Dead while there is
//     another live member that could check it.
//   - A member that has stopped is Dead in every connected view within
//     DetectBound, or within DomainDetectBound if a whole failure domain stops at
//     once.
//   - A member that responds to its peers is not Dead for longer than
//     RejoinBound in the view of a node that can reach it.
//   - A member that leaves is Leaving or Dead in every connected view within
//     LeaveBound. A node that was disconnected at that time shows this within
//     DetectBound of reconnecting.
//   - The number of members that are not on the roster is limited.
//
// The time bounds hold under the conditions of the tests: 1,000 members, up to
// 5% message loss, and a network over which updates can reach every node.
package member
