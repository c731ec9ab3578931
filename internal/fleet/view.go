package fleet

import (
	"slices"
	"strings"
)

// view is the immutable list that requests read.
type view struct {
	byService map[string][]*Member
}

// Members returns the endpoints of a service that take requests. The caller must
// not change the slice.
func (f *Fleet) Members(service string) []*Member { return f.view.Load().byService[service] }

// Member returns the endpoint of an id, nil where there is none that takes requests.
func (f *Fleet) Member(id string) *Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil && !m.Endpoint().Draining {
		return m
	}
	return nil
}

// All returns every endpoint that takes requests.
func (f *Fleet) All() []*Member {
	var all []*Member
	for _, members := range f.view.Load().byService {
		all = append(all, members...)
	}
	return all
}

// Empty reports whether no endpoint is known.
func (f *Fleet) Empty() bool { return len(f.view.Load().byService) == 0 }

// Together makes one new list of what change does to the fleet by the other methods, when it is done.
// Made after each of the thousands of entries that a node reads when it starts, the lists take a small
// host seconds.
func (f *Fleet) Together(change func()) {
	f.mu.Lock()
	f.together++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.together--; f.together == 0 && f.stale {
			f.rebuild()
		}
	}()
	change()
}

// Rebuilds returns how often the list that requests read was made.
func (f *Fleet) Rebuilds() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rebuilds
}

// rebuild makes the list that requests read, in the order of the endpoints' ids. Within Together it
// leaves that to its end.
func (f *Fleet) rebuild() {
	if f.stale = f.together > 0; f.stale {
		return
	}
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
