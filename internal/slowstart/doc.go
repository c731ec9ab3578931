// Package slowstart bounds the requests that all nodes together send to an endpoint that is cold: one
// that has just started, or may have.
//
// Few nodes send to a cold endpoint, chosen by rendezvous hashing over the members of a view that all
// nodes read from the same place, and each sends only its share in any second. Nothing is told or
// agreed on for it, so that nodes which are cut off, frozen or just started keep to it as well.
//
// Guarantee: nodes whose views of the members hold at most two sets of senders of an endpoint, as
// while members come or go, send it no more than the bound in any second. The shares of one set add
// up to half of it. A node that isn't in its own view, or whose view is too old, sends nothing.
package slowstart
