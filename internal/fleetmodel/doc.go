// Package fleetmodel simulates callers, engines and a KV cache store in virtual time. Requests
// are placed by the gateway's own code: no part of internal/placer, internal/admission or
// internal/enginemodel is replaced.
//
// The model is simple. Engines run batches, prefill prompts in chunks between the decode steps
// of other runs, and share their memory between runs and cached parts. They evict the least
// recently used part, and preempt the newest run of the least urgent rank when memory runs out.
// The store keeps all parts that it has room for. Callers arrive in bursts and retry once after
// a refusal. Engines crash or slow down for a period. Not modeled: the network, the stores'
// links, model weights, other failures and delayed load reports (a single node places all
// requests).
package fleetmodel
