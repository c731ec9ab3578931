package router

import (
	"context"
	"slices"

	"github.com/cherryward/cherryward/internal/owner"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/placement"
	"github.com/cherryward/cherryward/internal/runs"
)

// bytesPerToken is the assumed length of a token. The number of prompt tokens computed from it is a
// lower bound: a higher estimate of an owner takes precedence.
const bytesPerToken = 4

// collectedEstimates holds the prompt length and the stores' estimates, as received in time.
type collectedEstimates struct {
	promptTokens int
	stores       []placement.StoreEstimate
}

// ownerBatch is the estimate request to one node.
type ownerBatch struct {
	node, addr string
	req        owner.EstimateRequest
}

// reply is the response to a batch; resp is nil if there was none.
type reply struct {
	*ownerBatch
	resp *owner.EstimateResponse
}

// estimate requests estimates from the owners of all candidates concurrently and merges them into
// engines. It returns when all have responded, or at the timeout.
func (r *Router) estimate(ctx context.Context, req *runs.Request, engines []placement.EngineEstimate, stores []string) collectedEstimates {
	ctx, cancel := context.WithTimeout(ctx, r.estimateTimeout)
	defer cancel()
	batches := r.batches(promptOf(req), engines, stores)
	replies := make(chan reply, len(batches))
	for _, b := range batches {
		go func() { replies <- reply{ownerBatch: b, resp: r.fetchEstimate(ctx, b)} }()
	}
	defer func() { placement.FillUnknownRates(engines) }()
	out := collectedEstimates{promptTokens: estimatePromptTokens(req)}
	for range batches {
		select {
		case <-ctx.Done():
			return out
		case rep := <-replies:
			r.merge(rep, engines, &out)
		}
	}
	return out
}

// estimatePromptTokens returns the number of prompt tokens, estimated from the length if the prompt
// is text.
func estimatePromptTokens(req *runs.Request) int {
	if req.PromptIDs != nil {
		return len(req.PromptIDs)
	}
	return len(req.Prompt) / bytesPerToken
}

// batches groups the endpoints by owner.
func (r *Router) batches(p owner.Prompt, engines []placement.EngineEstimate, stores []string) []*ownerBatch {
	var list []*ownerBatch
	byNode := make(map[string]*ownerBatch)
	batchFor := func(endpoint string) *ownerBatch {
		node, addr := r.cluster.Owner(endpoint)
		b := byNode[node]
		if b == nil {
			b = &ownerBatch{node: node, addr: addr, req: owner.EstimateRequest{Prompt: p}}
			byNode[node] = b
			list = append(list, b)
		}
		return b
	}
	for _, e := range engines {
		b := batchFor(e.Endpoint)
		b.req.Engines = append(b.req.Engines, e.Endpoint)
	}
	layouts := layoutsOf(engines)
	for _, s := range stores {
		b := batchFor(s)
		b.req.Stores = append(b.req.Stores, s)
		b.req.Layouts = layouts
	}
	return list
}

// layoutsOf returns the known KV layouts of the engines.
func layoutsOf(engines []placement.EngineEstimate) []string {
	var out []string
	for _, e := range engines {
		if e.Layout != "" && !slices.Contains(out, e.Layout) {
			out = append(out, e.Layout)
		}
	}
	return out
}

// fetchEstimate returns the owner's estimates, or nil if it does not respond in time.
func (r *Router) fetchEstimate(ctx context.Context, b *ownerBatch) *owner.EstimateResponse {
	if b.node == r.cluster.Self().ID {
		resp, _ := r.owner.Estimate(ctx, &b.req) // never fails
		return resp
	}
	resp, err := peers.Call[owner.EstimateRequest, owner.EstimateResponse](ctx, r.cluster.Pool, b.addr, owner.MethodEstimate, &b.req)
	if err != nil {
		return nil
	}
	return resp
}

// merge adds the estimates of a reply to engines and out.
func (r *Router) merge(rep reply, engines []placement.EngineEstimate, out *collectedEstimates) {
	if rep.resp == nil {
		return
	}
	for _, est := range rep.resp.Engines {
		for i := range engines {
			if engines[i].Endpoint == est.Endpoint {
				est.FailureDomain = engines[i].FailureDomain
				est.Owner = rep.node
				engines[i] = est
			}
		}
	}
	r.cacheEstimates(&rep.req.Prompt, rep.resp.Engines)
	out.stores = append(out.stores, rep.resp.Stores...)
	out.promptTokens = max(out.promptTokens, rep.resp.PromptTokens)
}
