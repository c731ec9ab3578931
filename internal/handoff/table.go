package handoff

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cherryward/cherryward/internal/upstream"
)

const (
	// maxCandidates is the number of nodes between which a request's helper is chosen. Each node has
	// others, by a hash of its own name, so that the nodes of a failure domain that is partitioned as a
	// whole spread their requests, and each keeps connections to a few nodes only.
	maxCandidates = 16
	// avoidTime is the time for which a node that could not help is not asked again.
	avoidTime = time.Second
)

// Node is a listed node that accepts requests of others.
type Node struct {
	Name, Addr string // Addr is IP:PORT
	Domain     string // failure domain
	Local      bool   // in this node's region
	// BindsReleases is true if the node continues a stream only at the release that its envelope states.
	BindsReleases bool
}

// Need states which helpers can serve a request.
type Need struct {
	Service string
	Tried   []string // names of the nodes that were asked before
	// Confined is true if only nodes of this node's region may be asked.
	Confined bool
	// Continues is true if the request continues a stream that a release of the endpoints' software
	// has begun.
	Continues bool
}

// Helper is a node to which requests can be passed.
type Helper struct {
	Node
	Pool *upstream.Pool

	order uint64
	// The other fields are guarded by Table.mu.
	inFlight   int
	avoidUntil time.Time
	noPath     map[string]time.Time // by service, until when the node is known to have no path
}

// Table holds the nodes to which this node can pass requests. It is safe for concurrent use.
type Table struct {
	Name string // of this node
	// Heard reports whether a node is known to run. Nil means that nothing is known.
	Heard func(node string) bool
	Now   func() time.Time
	// Random returns a random number in [0, n).
	Random func(n int) int
	// Connections are the options of the pools of helpers.
	Connections upstream.Options

	mu      sync.Mutex
	helpers []*Helper
	// doubtful holds, by service and failure domain, until when nodes of the domain are asked last
	// because one of them had no path.
	doubtful map[domainPath]time.Time
}

type domainPath struct{ service, domain string }

// SetNodes replaces the listed nodes.
func (t *Table) SetNodes(nodes []Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[Node]*Helper, len(t.helpers))
	for _, h := range t.helpers {
		known[h.Node] = h
	}
	helpers := make([]*Helper, 0, len(nodes))
	for _, n := range nodes {
		if n.Name == t.Name || n.Addr == "" {
			continue
		}
		h := known[n]
		if h == nil {
			h = &Helper{Node: n, Pool: upstream.NewPool(n.Addr, t.Connections), order: xxhash.Sum64String(t.Name + "/" + n.Name)}
		}
		delete(known, n)
		helpers = append(helpers, h)
	}
	for _, h := range known {
		h.Pool.CloseIdle()
	}
	slices.SortFunc(helpers, func(a, b *Helper) int { return cmp.Compare(a.order, b.order) })
	t.helpers = helpers
}

// Acquire returns the helper for a request, or nil if no node is known that may have a path and can serve
// the request. Of two random candidates it is the one with fewer requests of this node in flight. Each
// helper must be released.
func (t *Table) Acquire(need *Need) *Helper {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	candidates := t.candidates(func(h *Helper) bool {
		return h.Local && t.usable(h, need, now) && !now.Before(t.doubtful[domainPath{need.Service, h.Domain}])
	})
	if len(candidates) == 0 {
		candidates = t.candidates(func(h *Helper) bool { return h.Local && t.usable(h, need, now) })
	}
	if len(candidates) == 0 && !need.Confined {
		candidates = t.candidates(func(h *Helper) bool { return t.usable(h, need, now) })
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen, other := candidates[t.Random(len(candidates))], candidates[t.Random(len(candidates))]
	if other.inFlight < chosen.inFlight {
		chosen = other
	}
	chosen.inFlight++
	return chosen
}

// candidates returns the first helpers that match, maxCandidates at most.
func (t *Table) candidates(match func(*Helper) bool) []*Helper {
	var list []*Helper
	for _, h := range t.helpers {
		if !match(h) {
			continue
		}
		if list = append(list, h); len(list) == maxCandidates {
			break
		}
	}
	return list
}

func (t *Table) usable(h *Helper, need *Need, now time.Time) bool {
	switch {
	case now.Before(h.avoidUntil), now.Before(h.noPath[need.Service]), slices.Contains(need.Tried, h.Name):
		return false
	case need.Continues && !h.BindsReleases:
		return false
	}
	return t.Heard == nil || t.Heard(h.Name)
}

// Release ends a request at a helper.
func (t *Table) Release(h *Helper) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.inFlight--
}

// RecordUnavailable records that a helper could not be connected to, or takes no requests of others.
func (t *Table) RecordUnavailable(h *Helper) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.avoidUntil = t.Now().Add(avoidTime)
}

// RecordNoPath records that a helper has no path to a service's endpoints, either.
func (t *Table) RecordNoPath(h *Helper, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := t.Now().Add(avoidTime)
	if h.noPath == nil {
		h.noPath = make(map[string]time.Time)
	}
	if t.doubtful == nil {
		t.doubtful = make(map[domainPath]time.Time)
	}
	h.noPath[service] = until
	t.doubtful[domainPath{service, h.Domain}] = until
}
