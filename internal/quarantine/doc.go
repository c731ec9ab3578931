// Package quarantine stops requests that make endpoints end from being sent to more of them.
//
// A request can crash every endpoint that starts to run it, and its callers send it again, under other
// ids and to other nodes. Each node records which endpoints ended while they had which requests, and
// reports this to other nodes. A request during which three endpoints ended is held: no node sends it
// for some time.
//
// Guarantees:
//
//   - A request is held only after three starts of endpoints ended while they had it, and no endpoint
//     has completed it since the first of these.
//   - The endings of a request are reported to the same set of nodes whichever node saw them. Three
//     endings seen by three nodes therefore cause a hold just as three seen by one node do.
//   - Holds are recorded on the platform, under the nodes' topic. A node that starts has them once it
//     has read the topic, so all nodes may restart at once.
//   - The number of tracked requests is bounded; beyond the bound, the least recently used are evicted.
package quarantine
