package router

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/runs"
)

const (
	// maxCandidates is the maximum number of engines whose estimates are requested for one prompt.
	// If the model has no more engines, all are candidates.
	maxCandidates = 16
	// prefixChunks is the number of the prompt's first chunks that select the candidates: enough to
	// distinguish conversations that share a short preamble.
	prefixChunks = 4
	slotCount    = 1 << 12
)

// candidates selects a few engines for a prefix, the same ones at every node.
type candidates struct {
	mu     sync.Mutex
	models map[string]*modelEngines
}

// modelEngines holds the engines of one model in one configuration.
type modelEngines struct {
	engines []*pb.Endpoint
	byName  map[string]*pb.Endpoint
	slots   *rendezvous.Slots
}

// forPrompt returns the candidates of a prompt.
func (c *candidates) forPrompt(view *config.View, model string, chain kvcache.Chain) []*pb.Endpoint {
	engines := view.Engines(model)
	if len(engines) <= maxCandidates {
		return engines
	}
	m := c.modelEngines(model, engines)
	names := m.slots.Top(slotKey(chain))
	out := make([]*pb.Endpoint, 0, len(names))
	for _, name := range names {
		out = append(out, m.byName[name])
	}
	return out
}

// servingEndpoints returns the candidates for the request, without those already tried: the ones
// known to hold its weight version, otherwise up to maxCandidates other engines known to hold it,
// otherwise all candidates, as the list of holders may be incomplete.
func (r *Router) servingEndpoints(view *config.View, req *runs.Request, tried []string) []*pb.Endpoint {
	candidates := r.available(r.candidates.forPrompt(view, req.Model, req.Chain), tried)
	names := r.holders.Holding(req.Model, req.Version)
	if len(names) == 0 {
		return candidates
	}
	if holding := filterByName(candidates, names); len(holding) > 0 {
		return holding
	}
	if others := r.available(endpointsOf(view, names), tried); len(others) > 0 {
		return others
	}
	return candidates
}

// available returns the endpoints that were not tried and whose hosts are not leaving.
func (r *Router) available(all []*pb.Endpoint, tried []string) []*pb.Endpoint {
	usable := make([]*pb.Endpoint, 0, len(all))
	for _, e := range all {
		if !r.cluster.HostLeaving(e) && !slices.Contains(tried, e.GetName()) {
			usable = append(usable, e)
		}
	}
	return usable
}

// filterByName returns the endpoints whose names are listed.
func filterByName(all []*pb.Endpoint, names []string) []*pb.Endpoint {
	matching := make([]*pb.Endpoint, 0, len(all))
	for _, e := range all {
		if slices.Contains(names, e.GetName()) {
			matching = append(matching, e)
		}
	}
	return matching
}

// endpointsOf returns the endpoints with the given names that are not leaving. It looks up
// maxCandidates names at most.
func endpointsOf(view *config.View, names []string) []*pb.Endpoint {
	var found []*pb.Endpoint
	for _, name := range names[:min(len(names), maxCandidates)] {
		if e, ok := view.Endpoint(name); ok && !e.GetLeaving() {
			found = append(found, e)
		}
	}
	return found
}

// slotKey returns the key that selects the slot of a prompt. Prompts without a reusable prefix get
// a random key, which spreads them over all engines.
func slotKey(chain kvcache.Chain) string {
	if len(chain) == 0 {
		return strconv.Itoa(rand.IntN(slotCount))
	}
	return chain[min(prefixChunks, len(chain))-1].String()
}

// modelEngines returns the engines of the model, and rebuilds the entry if they have changed in the
// configuration, which returns the same slice until then.
func (c *candidates) modelEngines(model string, engines []*pb.Endpoint) *modelEngines {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.models[model]
	if m != nil && len(m.engines) == len(engines) && &m.engines[0] == &engines[0] {
		return m
	}
	if c.models == nil {
		c.models = make(map[string]*modelEngines)
	}
	m = newModelEngines(engines)
	c.models[model] = m
	return m
}

func newModelEngines(engines []*pb.Endpoint) *modelEngines {
	m := &modelEngines{engines: engines, byName: make(map[string]*pb.Endpoint, len(engines))}
	nodes := make([]rendezvous.Node, 0, len(engines))
	for _, e := range engines {
		m.byName[e.GetName()] = e
		nodes = append(nodes, rendezvous.Node{ID: e.GetName(), Weight: 1})
	}
	m.slots = rendezvous.NewSlots(rendezvous.NewSet(nodes), slotCount, maxCandidates)
	return m
}
