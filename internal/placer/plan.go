package placer

import (
	"time"

	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kept"
)

const (
	// fetchLimit is the longest time that a fetch from a store may take; what
	// comes later is thrown away, and the engine reads the prompt. Outdated parts
	// are freed only when this has passed since the last node named them.
	fetchLimit = time.Second
	// foreignLink is how much longer a transfer between failure domains takes.
	foreignLink = 2.0
	// assumedMbps is the speed of a link that the configuration doesn't state.
	assumedMbps = 100_000.0
	// minSaved is the smallest part worth a transfer to a store, in tokens: a
	// smaller one is read in less than the transfer's own start takes.
	minSaved = 64
)

// plan is how an engine would come by the parts of a prompt.
type plan struct {
	version   int64 // of the weights that the salt names
	salt      string
	current   bool     // the salt's version is the wanted one
	named     bool     // parts at stores may be named
	sources   []string // an address for each part; nil where none is fetched
	fromStore bool
	cached    int // tokens that the engine keeps itself
	fetched   int // tokens that it fetches
	reading   int // tokens that it has to read
	fetchMs   float64
	bytes     float64 // fetched
}

// ms is the time until the prompt is read, with what its transfers cost.
func (p *plan) ms() float64 {
	const bytesPerGB = 1e9
	return p.fetchMs + float64(p.reading)/prefillPerMs + movedMsPerGB*p.bytes/bytesPerGB
}

// reason names what the plan rests on.
func (p *plan) reason() string {
	switch {
	case p.fromStore:
		return "fetch_store"
	case p.fetched > 0:
		return "fetch_engine"
	case p.cached > 0:
		return "cached"
	}
	return "read"
}

// plan works out the parts one after the other: an engine can use a part only if
// it has all before it. Parts of weights that are no longer wanted are not saved.
func (p *Placer) plan(q *forward.Query, m *fleet.Member, version, wanted int64) *plan {
	plan := &plan{
		version: version,
		salt:    saltOf(q, version),
		current: version >= wanted,
		named:   p.Kept.ClockMS() > 0 && p.MayName(q.Attributes.Model, version),
	}
	parts := q.Attributes.Parts
	if len(parts) == 0 {
		plan.reading = q.Attributes.PromptTokens
		return plan
	}
	engine := p.Kept.Engine(m.ID)
	prefix := true
	for i, part := range parts {
		key := kept.Part{Salt: plan.salt, ID: part.ID}
		if prefix && engine != nil && engine.Has(key) >= part.Tokens {
			plan.cached += part.Tokens
			continue
		}
		if prefix && p.fetch(q, m, plan, i, key) {
			continue
		}
		prefix = false
		plan.reading += part.Tokens
	}
	return plan
}

// fetch adds the quickest source of part i to the plan. It reports false where no
// other holder has the whole part.
func (p *Placer) fetch(q *forward.Query, m *fleet.Member, plan *plan, i int, key kept.Part) bool {
	part := q.Attributes.Parts[i]
	bytes := float64(part.Tokens) * float64(q.Service.Engine.TokenBytes)
	domain := m.Endpoint().Domain
	var best *kept.Holder
	bestMs := float64(part.Tokens) / prefillPerMs
	consider := func(h *kept.Holder) {
		if ms := transferMs(h, bytes, domain); ms < bestMs && h.Reachable() && h.Has(key) >= part.Tokens {
			best, bestMs = h, ms
		}
	}
	for id, h := range p.Kept.Engines() {
		if id != m.ID {
			consider(h)
		}
	}
	for _, h := range p.Kept.Stores() {
		if plan.named {
			consider(h)
		}
	}
	if best == nil {
		return false
	}
	if plan.sources == nil {
		plan.sources = make([]string, len(q.Attributes.Parts))
	}
	plan.sources[i] = best.Addr
	plan.fromStore = plan.fromStore || best.Tokens > 0
	plan.fetched += part.Tokens
	plan.fetchMs += bestMs
	plan.bytes += bytes
	return true
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
	if len(parts) < 2 || !plan.current {
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

// saveAt returns the store that a part should be sent to, or none. All nodes
// choose the same one, in proportion to the stores' room.
func (p *Placer) saveAt(key kept.Part, tokens int) string {
	if tokens < minSaved {
		return ""
	}
	stores := p.Kept.Stores()
	nodes := make([]rendezvous.Node, 0, len(stores))
	for _, s := range stores {
		if s.Has(key) > 0 {
			return ""
		}
		if s.Reachable() {
			nodes = append(nodes, rendezvous.Node{ID: s.Addr, Weight: float64(s.Tokens)})
		}
	}
	owner, _ := rendezvous.Owner(key.ID, nodes)
	for _, s := range stores {
		if s.Addr == owner && s.BeginSave(key, tokens, time.Now()) {
			return s.Addr
		}
	}
	return ""
}
