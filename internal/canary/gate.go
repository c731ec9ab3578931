package canary

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cherryward/cherryward/internal/fleet"
)

// Gate decides for one node which endpoints of a service may get a request, while an order is under way
// or after it. The zero value knows no order. It is safe for concurrent use.
type Gate struct {
	// ExposureShare is the operators' bound on the share of a service's requests that a release on trial
	// may get from all nodes together.
	ExposureShare float64
	// PhasesKnown reports whether the recorded phases of orders were read.
	PhasesKnown func() bool

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is the state of a service's newest order.
type serviceState struct {
	order    Order
	phase    Phase
	held     bool // the release was found to be worse, and gets nothing until that is recorded
	avoided  bool // this node is isolated and found the release to be worse
	requests int  // first sends since the order, of this node
	exposed  int  // sends to the release on trial, of this node
	rows     map[string]*Row
	// recorded holds the newest recorded phase, which may be of an order that was not read yet.
	recorded struct {
		order int64
		phase Phase
	}
	dirty bool // rows have new answers of the new release
}

func (g *Gate) state(service string) *serviceState {
	if g.services == nil {
		g.services = make(map[string]*serviceState)
	}
	s := g.services[service]
	if s == nil {
		s = &serviceState{rows: make(map[string]*Row)}
		g.services[service] = s
	}
	return s
}

// SetOrder begins an order. An order that was begun before is kept as it is.
func (g *Gate) SetOrder(o Order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(o.Service)
	if s.order.ID == o.ID && s.order.Release == o.Release {
		return
	}
	recorded := s.recorded
	*s = serviceState{order: o, rows: make(map[string]*Row)}
	s.recorded = recorded
	if recorded.order == o.ID {
		s.setPhase(recorded.phase)
	}
}

// Withdraw removes a service's order.
func (g *Gate) Withdraw(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.services, service)
}

// setRecorded applies a recorded phase.
func (g *Gate) setRecorded(service string, order int64, phase Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(service)
	s.recorded.order, s.recorded.phase = order, phase
	if s.order.ID == order && s.order.Release != "" {
		s.setPhase(phase)
	}
}

// setPhase moves on to a phase that may follow the present one.
func (s *serviceState) setPhase(phase Phase) {
	if phase == s.phase || !phase.mayFollow(s.phase) && !(s.phase == Trial && phase == Succeeded) {
		return
	}
	s.phase = phase
}

// unrecorded reports whether the phase is not the newest recorded one.
func (s *serviceState) unrecorded() bool {
	return s.phase != Trial && (s.recorded.order != s.order.ID || s.recorded.phase != s.phase)
}

// forgetRecords forgets which phases are recorded, but not the phases.
func (g *Gate) forgetRecords() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.services {
		s.recorded.order, s.recorded.phase = 0, Trial
	}
}

// hold stops all requests to a release that was found to be worse, until that is recorded.
func (g *Gate) hold(service string, order int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[service]; s != nil && s.order.ID == order {
		s.held = true
	}
}

// Split divides the endpoints that may get a request into those to try first and those to try if none
// of the first takes it. Endpoints in neither list must get nothing.
func (g *Gate) Split(service, route string, members []*fleet.Member, now time.Time) (first, then []*fleet.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil || s.order.Release == "" {
		return nil, members
	}
	var old, released []*fleet.Member
	for _, m := range members {
		if m.Endpoint().Release == s.order.Release {
			released = append(released, m)
		} else {
			old = append(old, m)
		}
	}
	known := g.PhasesKnown == nil || g.PhasesKnown()
	switch {
	case s.phase == RolledBack || s.held:
		return nil, old
	case s.phase == Succeeded:
		return nil, released
	case s.avoided && len(old) > 0:
		return nil, old
	case s.phase == Promoting:
		return released, old
	case !known && len(old) == 0:
		return nil, released
	case known && s.mayExpose(route, g.ExposureShare):
		return trialEndpoints(released, g.ExposureShare, now), old
	}
	return nil, old
}

// Withdrawn reports whether endpoints of a release get no requests any more, since another release has
// replaced it or it was found to be worse.
func (g *Gate) Withdrawn(service, release string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	switch {
	case s == nil || s.order.Release == "":
		return false
	case s.phase == Succeeded:
		return release != s.order.Release
	}
	return release == s.order.Release && (s.phase == RolledBack || s.held)
}

// mayExpose reports whether the next request may go to the release on trial. One request is left over
// for routes that had fewer: otherwise frequent routes would use up the share, and a release that is
// bad on a rare route would never be tried there.
func (s *serviceState) mayExpose(route string, share float64) bool {
	left := int(share*float64(s.requests+1)) - s.exposed
	if left < 1 {
		return false
	}
	row := s.rows[route]
	if left > 1 || row == nil {
		return true
	}
	fewest := row.New.Answers
	for _, r := range s.rows {
		fewest = min(fewest, r.New.Answers)
	}
	return row.New.Answers <= 2*fewest
}

func (s *serviceState) sortedRows() []*Row {
	rows := make([]*Row, 0, len(s.rows))
	for _, r := range s.rows {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b *Row) int { return cmp.Compare(a.Route, b.Route) })
	return rows
}

// trialEndpoints returns the endpoints that get the requests of a trial: so few that each has about the
// load that it would have with all requests, as a release may be bad under load only. All nodes choose
// the same ones. Cold endpoints are left out, since they are slow whatever their release.
func trialEndpoints(released []*fleet.Member, share float64, now time.Time) []*fleet.Member {
	warm := slices.DeleteFunc(slices.Clone(released), func(m *fleet.Member) bool { return m.Cold(now) })
	slices.SortFunc(warm, func(a, b *fleet.Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	count := int(share*float64(len(warm)) + 0.5)
	return warm[:min(max(count, 1), len(warm))]
}

// underWay returns the state of a service whose order has not ended, or nil. g.mu is held.
func (g *Gate) underWay(service string) *serviceState {
	s := g.services[service]
	if s == nil || s.order.Release == "" || s.phase.Final() {
		return nil
	}
	return s
}

// RecordSend counts a request that is sent to an endpoint; isFirst is true for its first send. It
// reports whether an order of the service is under way, so that the answer must be recorded.
func (g *Gate) RecordSend(service string, m *fleet.Member, isFirst bool) (underWay bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.underWay(service)
	if s == nil {
		return false
	}
	if isFirst {
		s.requests++
	}
	if m.Endpoint().Release == s.order.Release {
		s.exposed++
	}
	return true
}

// RecordAnswer counts an answer, or its failure.
func (g *Gate) RecordAnswer(service, route string, m *fleet.Member, bad bool, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.underWay(service)
	if s == nil {
		return
	}
	row := s.rows[route]
	if row == nil {
		if len(s.rows) >= maxRows {
			return
		}
		row = &Row{Route: route}
		s.rows[route] = row
	}
	if m.Endpoint().Release == s.order.Release {
		row.New.add(bad, took)
		s.dirty = true
		return
	}
	row.Old.add(bad, took)
}

// orderState is a copy of a service's order and of what this node counted for it.
type orderState struct {
	Order
	phase      Phase
	held       bool
	unrecorded bool // the phase is not the newest recorded one
	dirty      bool
	rows       []Row
}

// orders returns the orders of all services.
func (g *Gate) orders() []orderState {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []orderState
	for _, s := range g.services {
		if s.order.Release == "" {
			continue
		}
		o := orderState{Order: s.order, phase: s.phase, held: s.held, unrecorded: s.unrecorded(), dirty: s.dirty}
		for _, r := range s.sortedRows() {
			o.rows = append(o.rows, *r)
		}
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b orderState) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// markReported notes that all answers were reported.
func (g *Gate) markReported(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[service]; s != nil {
		s.dirty = false
	}
}
