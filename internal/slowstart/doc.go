// Package slowstart limits the requests that all nodes together send to a cold endpoint: one that has
// just started, or may have.
//
// Only a few nodes send to a cold endpoint. They are selected by rendezvous hashing over a member list
// that all nodes read from the same source, and each sends only its share per second. This needs no
// communication between nodes, so the limit also holds for nodes that are partitioned, were frozen or
// have just started.
//
// Guarantee: nodes whose member lists yield at most two sets of senders for an endpoint, as during a
// membership change, send it no more than the bound in any second. The shares of one set add up to at
// most half of the bound, except for a bound of 1, which a single sender uses. A node that is missing
// from its own member list, or whose list is too old, sends nothing.
package slowstart
