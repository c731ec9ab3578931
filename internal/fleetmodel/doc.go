// Package fleetmodel plays callers, engines and a store of KV cache in virtual time, and has
// the gateway's own placement decide: nothing of internal/placer, internal/admission or
// internal/enginemodel is replaced.
//
// It is thin. Engines batch, read prompts in chunks between the tokens of other runs, share
// their memory among runs and cached parts, drop the part used least recently, and put back
// the newest run of the least urgent rank when memory runs out. The store keeps what it is
// sent. Callers come in bursts, and return once after a refusal. Engines crash or turn slow for a
// while. Left out: the network, links of stores, weights, other failures, and load that is told
// late (one node decides).
package fleetmodel
