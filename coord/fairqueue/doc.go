// Package fairqueue orders pending items by class and by weighted fairness between client
// accounts, and immediately rejects items that are predicted not to start before their deadline.
//
// Guarantees, with costs in the caller's unit and weights as configured:
//
//   - Accounts. Within a class, for any two accounts f and m that both have items queued
//     throughout an interval, the service they receive, divided by their weights, differs by at
//     most maxCost(f)/weight(f) + maxCost(m)/weight(m). An account that has no items queued and
//     whose accepted cost has been served in full waits, besides for items of other classes,
//     for at most one item of each other account of its class that has items queued, unless
//     items were canceled, expired or refunded.
//   - Classes. Scheduling between classes is weighted, not strict: the same bound holds between
//     classes that have items queued, so no class starves and none is delayed without bound.
//   - Capacity. Within one class, an account cannot fill the queue: it may add an item only
//     while it has fewer items queued in the class than MaxLen minus the number of items queued
//     in all classes.
//   - Conservation. Each accepted item leaves exactly once, by Pop, Cancel or Expire; Pop
//     returns an item whenever one is queued.
//
// The algorithm is start-time fair queueing (Goyal, Vin and Cheng, 1996). It does not depend on
// the service rate, so a wrong rate affects only predicted waits, and so which items are rejected
// or expire, but never fairness. Operations are O(log n) in the number of items, except as
// documented for Expire. No state is kept for accounts that have no items queued and whose
// accepted cost has been served in full.
//
// A Queue does no I/O and reads no clock. It is not safe for concurrent use; the caller must
// serialize calls.
package fairqueue
