// Package quarantine stops sending requests that crash endpoints.
//
// A request can crash every endpoint that starts to run it, and its callers send it again, under other
// ids and to other nodes. Each node records, for each request, the endpoints that ended while running
// it, and reports them to other nodes. A request with fewer than three endings is a candidate. One with
// three is held: no node sends it until the hold ends.
//
// Guarantees:
//
//   - A request is held only after three starts of endpoints ended while running it, and no endpoint
//     has completed it since the first of these.
//   - The endings of a request are reported to the same set of nodes whichever node saw them. Three
//     endings seen by three nodes therefore cause a hold just as three seen by one node do.
//   - Holds are recorded on the platform, under the nodes' topic. A node that starts applies them when
//     it reads the topic, so holds remain in effect even if all nodes restart at once.
//   - The number of tracked requests is bounded; beyond the bound, the least recently used are evicted.
package quarantine
