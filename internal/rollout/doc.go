// Package rollout makes the engines hold the weights that the newest accepted configuration requests,
// and moves a model from one weight version to the next while it is being served.
//
// Guarantees, as long as claims hold (see coord/claim):
//
//   - One node at a time sends orders to an engine, each with a fencing token. If the answer to an order
//     is lost, the engine's state is read before the next order. An order that takes effect late is
//     corrected after the next read of the engine's state.
//   - At most [MaxLoads] loads run through the weight store, over the whole system.
//   - A rollout takes an engine out of service only while the share of the model's engines that stays in
//     service is at least the model's minimum, according to the states that the engines report.
//   - One engine loads a new version first. The others load it if its first runs succeed. Otherwise the
//     model is changed back to the previous version by a configuration change; a later change by an
//     operator takes precedence over it.
//
// While the log is unavailable, no new steps start and running ones continue. Nodes exchange the state
// of a rollout through the model's board; it is not stored. It determines the order in which engines
// load a version, and the distribution of requests over versions. Of the guarantees, only the one on the
// first engine depends on it.
package rollout
