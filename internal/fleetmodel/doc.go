// Package fleetmodel simulates callers, gateway nodes, engines and a KV cache store in virtual time.
// Requests are placed by the gateway's own code: no part of internal/placer, internal/admission,
// internal/enginemodel or the load tables of internal/peerload is replaced.
//
// The model is simple. Engines run batches, prefill prompts in chunks between the decode steps
// of other runs, and share their memory between runs and cached parts. They evict the least
// recently used part, and preempt the newest run of the least urgent rank when memory runs out, or,
// if configured, when a more urgent request finds all slots taken. The store keeps all parts that it
// has room for. Callers arrive in bursts, retry once after a refusal, and give up after a time
// without an event. Engines crash or slow down for a period.
//
// There may be several nodes in several failure domains, each with its own placer, loads and
// estimates. Nodes report their loads as real ones do: in a small system to one another, in a large
// one through a collector in each failure domain, which reports to the collectors of the others.
// All nodes share one index of the caches.
//
// Not modeled: the network, the stores' links, model weights, failures of nodes, the registry (nodes
// learn of crashes by failed requests), callers that resume a broken stream, and what nodes observe of
// the engines' pace.
package fleetmodel
