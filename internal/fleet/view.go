package fleet

import (
	"maps"
	"slices"
	"strings"
)

// view is an immutable snapshot of the endpoints that accept requests. Requests read it without a lock.
type view struct {
	byService map[string][]*Member
}

// Members returns the endpoints of a service that accept requests. The caller must not modify the
// slice.
func (f *Fleet) Members(service string) []*Member { return f.view.Load().byService[service] }

// Member returns the endpoint with an id, or nil if there is none that accepts requests.
func (f *Fleet) Member(id string) *Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil && !m.Endpoint().Draining {
		return m
	}
	return nil
}

// At returns the endpoint at an address, as IP:PORT, or nil if there is none.
func (f *Fleet) At(addr string) *Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddr[addr]
}

// All returns all endpoints that accept requests.
func (f *Fleet) All() []*Member {
	var all []*Member
	for _, members := range f.view.Load().byService {
		all = append(all, members...)
	}
	return all
}

// CloseUnusableConnections closes the idle connections to all endpoints that no request may use any more.
func (f *Fleet) CloseUnusableConnections() {
	f.mu.Lock()
	members := slices.Collect(maps.Values(f.members))
	f.mu.Unlock()
	for _, m := range members {
		m.Pool.CloseUnusable()
	}
}

// Empty reports whether there is no endpoint that accepts requests.
func (f *Fleet) Empty() bool { return len(f.view.Load().byService) == 0 }

// UpdateBatch runs change and rebuilds the view once afterwards, instead of after each modification of
// the fleet made by change. Rebuilding after each of the thousands of entries that a node reads at
// startup takes seconds on a small host.
func (f *Fleet) UpdateBatch(change func()) {
	f.mu.Lock()
	f.openBatches++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.openBatches--; f.openBatches == 0 && f.stale {
			f.rebuild()
		}
	}()
	change()
}

// Rebuilds returns how often the view has been rebuilt.
func (f *Fleet) Rebuilds() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rebuilds
}

// rebuild builds a new view, sorted by endpoint id. Within UpdateBatch it is deferred to the end of the
// call.
func (f *Fleet) rebuild() {
	if f.stale = f.openBatches > 0; f.stale {
		return
	}
	f.changes.endBatch(&f.log)
	f.rebuilds++
	v := &view{byService: make(map[string][]*Member)}
	for _, m := range f.members {
		if !m.Endpoint().Draining {
			v.byService[m.Service] = append(v.byService[m.Service], m)
		}
	}
	for _, members := range v.byService {
		slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(a.ID, b.ID) })
	}
	f.view.Store(v)
}
