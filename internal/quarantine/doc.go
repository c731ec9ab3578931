// Package quarantine stops sending requests that crash endpoints.
//
// A request can crash every endpoint that starts to run it, and its callers send it again, under other
// ids and to other nodes. Each node records, for each request, the endpoints that ended while running
// it, and reports them to other nodes. A request with fewer than three endings is a candidate. One with
// three is held: no node sends it until the hold ends. Only runs of which no event had come count, as one whose
// answer has begun is not the cause.
//
// The cause may also be a part of many prompts, no two of which are alike. Each such run accuses the parts of its
// prompt but the last, and a request that begins clears those that it has. Of the parts of a client account that
// were accused three times, the one that explains the endings best is held.
//
// Guarantees:
//
//   - A request is held only after three starts of endpoints ended while running it, and no endpoint
//     has completed it since the first of these.
//   - A part is held only after it was accused by three endings, of different endpoints, under different requests
//     and not at the same time, and no request with it has begun since the first of these, as far as the deciding
//     nodes know. No account can have a part of another account's prompts held.
//   - The endings of a request, and those of an account's parts, are reported to the same set of nodes whichever
//     node saw them. Three endings seen by three nodes therefore cause a hold just as three seen by one node do.
//   - Holds are recorded on the platform, under the nodes' topic. A node that starts applies them when
//     it reads the topic, so holds remain in effect even if all nodes restart at once.
//   - The number of tracked requests is bounded; beyond the bound, the least recently used are evicted.
package quarantine
