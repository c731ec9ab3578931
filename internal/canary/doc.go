// Package canary moves the requests of a service to endpoints of another release, as operators order,
// or back if that release is worse.
//
// An order passes through phases. In the trial, a bounded share of the requests goes to the new
// release. If its answers are as good as those of the present one, all requests go there (promoting),
// and once none is left at the old endpoints, the order has succeeded: these may stop at once. If the
// answers are worse, or there is no proof by the deadline that they are not, no request goes to the
// new release any more (rolled back).
//
// Guarantees:
//
//   - In the trial, all nodes together send at most the exposure share of the service's requests to the
//     new release, without exchanging a message: each node keeps to that share of its own requests.
//   - An order ends once: its phases are records in a topic that all nodes follow, each written on
//     condition that nothing was written since its writer read the topic. A writer that was suspended,
//     cut off or replaced can't overwrite the end of an order.
//   - A node that knows the order but not its phase sends nothing to the new release while there are
//     other endpoints.
//   - Any node may be lost at any time. Counts of answers are cumulative at the nodes that saw them, and
//     repeated to whoever judges.
package canary
