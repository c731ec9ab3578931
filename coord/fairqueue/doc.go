// Package fairqueue orders pending items by class and by weighted fairness between client
// accounts, and immediately rejects items that cannot start before their deadline.
//
// Guarantees, with costs in the caller's unit and weights as configured:
//
//   - Accounts. Within a class, for any two accounts f and m that both have items queued
//     throughout an interval, the service they receive, divided by their weights, differs by at
//     most maxCost(f)/weight(f) + maxCost(m)/weight(m). An account without queued items or
//     outstanding charges waits for at most one item of each other account of its class that
//     has items queued.
//   - Classes. Scheduling between classes is weighted, not strict: the same bound holds between
//     classes that have items queued, so no class starves and none is delayed without bound.
//   - Capacity. One account cannot fill the queue: it may add an item only while it has fewer
//     items queued than there are free places.
//   - Conservation. Each accepted item leaves exactly once, by Pop, Cancel or Expire; Pop
//     returns an item whenever one is queued.
//
// The algorithm is start-time fair queueing (Goyal, Vin and Cheng, 1996). It does not depend on
// the service rate, so a wrong rate affects only predicted waits, never fairness. Operations
// are O(log n) in the number of items, except as documented for Expire. No state is kept for
// accounts that have no items queued and whose finish tag has been reached.
//
// A Queue does no I/O and reads no clock. It is not safe for concurrent use; the caller must
// serialize calls.
package fairqueue
