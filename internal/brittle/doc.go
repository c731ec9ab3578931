// Package brittle limits the requests at endpoints that fail if they refuse too many for want of room, and
// that may let fewer wait than usual or none.
//
// An endpoint's answers state it, and apply to all endpoints of its service, also to those that start and to
// those that have not answered this node. Nodes tell one another.
//
// Nothing waits at such an endpoint: a request needs one of its slots, which a single node, its lender, lends
// to all others. The lender is selected by rendezvous hashing over the member list. It denies a slot while all
// are lent, and while as many requests may be refused as the endpoint bears: those refused within the last
// second, and those sent just now where slots are scarce. After a refusal, whatever its reason, it lends no
// more slots than were accepted, and one more in each second.
//
// Guarantee: a lender lets an endpoint refuse at most half as many requests per second as it bears, or one.
// Nodes whose member lists yield two lenders, as during a membership change, keep to what it bears, if that is
// two or more. Not counted are requests of nodes that don't know yet that the service is brittle, what takes
// longer than settleAfter to be refused, and, where an endpoint with free slots has accepted requests before,
// what was sent just before its first refusal.
package brittle
