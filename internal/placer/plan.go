package placer

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kept"
)

const (
	// FetchLimit is the longest time that a fetch from a store may take; what
	// comes later is thrown away, and the engine reads the prompt. Outdated parts
	// are freed only when this has passed since the last node named them.
	FetchLimit = kept.FetchLimit
	// usualFetch is how many times as long as expected a fetch may take in any case, and
	// leastFetchMs for how long at least: a caller that comes back has missed its objective.
	usualFetch   = 1.25
	leastFetchMs = 100.0
	// lostFetchMs is the time from which a fetch is likely to be thrown away, so that
	// reading the part costs the same and comes sooner.
	lostFetchMs = 800.0
	// foreignLink is how much longer a transfer between failure domains takes.
	foreignLink = 2.0
	// assumedMbps is the speed of a link that the configuration doesn't state.
	assumedMbps = 100_000.0
	// minSaved is the smallest part worth a transfer to a store, in tokens: a
	// smaller one is read in less than the transfer's own start takes.
	minSaved = 64
	// againMsPerK is what speaks against reading 1,000 tokens that are kept elsewhere,
	// beyond the time it takes: the price of reading them again against that of a late
	// answer.
	againMsPerK = 160.0
)

// plan is how an engine would come by the parts of a prompt.
type plan struct {
	version   int64 // of the weights that the salt names
	salt      string
	current   bool     // the salt's version is the wanted one
	sources   []string // an address for each part; nil where none is fetched
	fromStore bool     // a store is among the sources
	cached    int      // tokens that the engine keeps itself
	fetched   int      // tokens that it fetches
	reading   int      // tokens that it has to read
	waitMs    float64  // until the engine has time and room for the request
	fetchMs   float64
	bytes     float64      // fetched
	slowest   *kept.Holder // the store of the fetch that takes longest
	slowestMs float64
}

// planMs is the time until the prompt is read, with what its transfers cost.
func (s *search) planMs(p *plan) float64 {
	const bytesPerGB = 1e9
	return p.fetchMs + float64(p.reading)*s.figures.TokenMs + movedMsPerGB*p.bytes/bytesPerGB
}

// patience is how long the engine waits for what it fetches, before it reads it: until the answer would
// miss its objective, but at least for as long as reading again costs and somewhat longer than the
// fetch is expected to take. Without it, prompts that are read in ms wait for a store whose link is full.
func (s *search) patience(m *fleet.Member) time.Duration {
	objective := millis(s.q.Route.Objective)
	if objective <= 0 {
		return FetchLimit
	}
	p := s.plan(m)
	left := (1-queueShare)*objective - millis(s.q.Age) - s.queueMs(m) - s.readingMs(m, p.reading+p.fetched) - s.figures.FirstMs
	again := againMsPerK / 1000 * float64(p.fetched)
	return min(duration(max(left, again, usualFetch*p.fetchMs, leastFetchMs)), FetchLimit)
}

// name notes the source of part i of so many.
func (p *plan) name(i, parts int, addr string) {
	if p.sources == nil {
		p.sources = make([]string, parts)
	}
	p.sources[i] = addr
}

// reason names what the plan rests on.
func (p *plan) reason() string {
	switch {
	case p.fromStore && p.fetched > 0:
		return "fetch_store"
	case p.fetched > 0:
		return "fetch_engine"
	case p.cached > 0:
		return "cached"
	}
	return "read"
}

// transferMs is the time of a transfer to a failure domain, in ms.
func transferMs(h *kept.Holder, bytes float64, domain string) float64 {
	const bitsPerByte = 8
	mbps := h.Mbps
	if mbps <= 0 {
		mbps = assumedMbps
	}
	ms := bytes * bitsPerByte / (mbps * 1e3)
	if h.Domain != domain {
		ms *= foreignLink
	}
	return ms + float64(h.First)/float64(time.Millisecond)
}

// targets names a store for each shared part that none keeps yet. The last part
// belongs to the request alone.
func (p *Placer) targets(q *forward.Query, plan *plan) []string {
	parts := q.Attributes.Parts
	if len(parts) < 2 || !plan.current || plan.version == 0 {
		return nil
	}
	var targets []string
	for i, part := range parts[:len(parts)-1] {
		store := p.saveAt(kept.Part{Salt: plan.salt, ID: part.ID}, part.Tokens)
		if store == "" {
			continue
		}
		if targets == nil {
			targets = make([]string, len(parts))
		}
		targets[i] = store
	}
	return targets
}

// dropSaves has the parts that a request was to save be sent again with the next one.
func (p *Placer) dropSaves(q *forward.Query, a *forward.Attempt) {
	for i, addr := range a.Targets {
		for _, store := range p.Kept.Stores() {
			if store.Addr == addr {
				store.DropSave(kept.Part{Salt: a.Salt, ID: q.Attributes.Parts[i].ID})
			}
		}
	}
}

// saveAt returns the store that a part should be sent to, or none. All nodes
// choose the same one, in proportion to the stores' size, as long as they agree on which are
// full: a part whose store has no room goes to another one, and so does one that was sent to a
// store in vain. All prompts that begin with it would be read else.
func (p *Placer) saveAt(key kept.Part, tokens int) string {
	if tokens < minSaved {
		return ""
	}
	now := p.Now()
	stores := p.Kept.Stores()
	if slices.ContainsFunc(stores, func(s *kept.Holder) bool { return s.Has(key) > 0 }) {
		return ""
	}
	nodes := make([]rendezvous.Node, 0, len(stores))
	var inVain []rendezvous.Node
	for _, s := range stores {
		if !s.Saves(now) || s.Room() < tokens {
			continue
		}
		node := rendezvous.Node{ID: s.Addr, Weight: float64(s.Tokens)}
		if s.Missed(key, now) {
			inVain = append(inVain, node)
		} else {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) == 0 {
		nodes = inVain
	}
	owner, _ := rendezvous.Owner(key.ID, nodes)
	for _, s := range stores {
		if s.Addr == owner && s.BeginSave(key, tokens, now) {
			return s.Addr
		}
	}
	return ""
}
