package placer

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/residency"
)

const (
	// FetchLimit is the maximum duration of a fetch from a store. A later result is discarded, and
	// the engine reads the prompt. Outdated parts are freed only when this has passed since the
	// last node referenced them.
	FetchLimit = kvindex.FetchTimeout
	// The timeout of a fetch is at least fetchTolerance times its expected duration, and at least
	// minFetchMs.
	fetchTolerance = 1.25
	minFetchMs     = 100.0
	// maxFetchMs is the predicted duration from which a fetch is likely to be discarded. Reading
	// the part instead then costs the same and finishes sooner.
	maxFetchMs = 800.0
	// crossDomainFactor and crossRegionFactor are how much longer a transfer takes between the failure
	// domains of a region, and between regions.
	crossDomainFactor = 2.0
	crossRegionFactor = 10.0
	// assumedMbps is the link speed assumed for holders whose configuration states none.
	assumedMbps = 100_000.0
	// minSaveTokens is the size of the smallest part that is sent to a store: a smaller part is
	// read in less time than it takes to start the transfer.
	minSaveTokens = 64
	// rereadMsPerK is the cost of reading 1,000 tokens that are kept elsewhere, in addition to the
	// time it takes: a surcharge that weighs reading them again against late answers.
	rereadMsPerK = 160.0
)

// plan describes how an engine would obtain the parts of a prompt.
type plan struct {
	version   int64 // of the weights named by the salt
	salt      string
	current   bool     // the salt's version is the wanted one
	sources   []string // an address for each part; nil if no part is fetched
	fromStore bool     // a store is among the sources
	cached    int      // tokens that the engine holds in its memory
	fetched   int      // tokens that it fetches
	reading   int      // tokens that it has to read
	waitMs    float64  // cost of the engine's queue, memory and failures
	fetchMs   float64
	bytes     float64         // size of the fetched parts
	slowest   *kvindex.Holder // the store of the slowest fetch
	slowestMs float64
}

// planMs returns the time until an engine has read the prompt, with the cost of its transfers, in ms.
func (s *selection) planMs(m *fleet.Member, p *plan) float64 {
	const bytesPerGB = 1e9
	return p.fetchMs + s.pace.factor(m)*float64(p.reading)*s.estimates.TokenMs + movedMsPerGB*p.bytes/bytesPerGB
}

// fetchTimeout returns how long the engine waits for the parts that it fetches before it reads
// them: until reading them would delay the first event past 1-queueShare of the objective, but at
// least as long as the cost of reading them again, and somewhat longer than the expected duration
// of the fetch. Without it, prompts that can be read within milliseconds would wait for a store
// whose link is full.
func (s *selection) fetchTimeout(m *fleet.Member) time.Duration {
	objective := millis(s.q.Route.Objective)
	if objective <= 0 {
		return FetchLimit
	}
	p := s.plan(m)
	remaining := (1-queueShare)*objective - millis(s.q.Age) - s.queueMs(m) - s.readingMs(m, p.reading+p.fetched) - s.estimates.FirstMs
	reread := rereadMsPerK / 1000 * float64(p.fetched)
	return min(duration(max(remaining, reread, fetchTolerance*p.fetchMs, minFetchMs)), FetchLimit)
}

// setSource sets the source of part i of the given number of parts.
func (p *plan) setSource(i, parts int, addr string) {
	if p.sources == nil {
		p.sources = make([]string, parts)
	}
	p.sources[i] = addr
}

// reason returns the reason code of the plan, by the sources of its parts.
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

// transferMs returns the time of a transfer to a failure domain, in ms.
func transferMs(h *kvindex.Holder, bytes float64, domain string, regions residency.Map) float64 {
	const bitsPerByte = 8
	mbps := h.Mbps
	if mbps <= 0 {
		mbps = assumedMbps
	}
	ms := bytes * bitsPerByte / (mbps * 1e3)
	switch {
	case h.Domain == domain:
	case regions.SameRegion(h.Domain, domain):
		ms *= crossDomainFactor
	default:
		ms *= crossRegionFactor
	}
	return ms + float64(h.TransferDelay)/float64(time.Millisecond)
}

// saveTargets returns a store for each shared part that no store keeps yet. The last part is not
// shared between requests.
func (s *selection) saveTargets(plan *plan) []string {
	parts := s.q.Attributes.Parts
	if len(parts) < 2 || !plan.current || plan.version == 0 {
		return nil
	}
	var targets []string
	for i, part := range parts[:len(parts)-1] {
		store := s.chooseSaveStore(kvindex.Part{Salt: plan.salt, ID: part.ID}, part.Tokens)
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

// cancelSaves cancels the saves that an attempt should have made, so that the next request sends
// the parts again.
func (p *Placer) cancelSaves(q *forward.Query, a *forward.Attempt) {
	for i, addr := range a.Targets {
		for _, store := range p.KVIndex.Stores() {
			if store.Addr == addr {
				store.CancelSave(kvindex.Part{Salt: a.Salt, ID: q.Attributes.Parts[i].ID})
			}
		}
	}
}

// chooseSaveStore returns the store to which a part should be sent, or "" for none. All nodes
// choose the same store, in proportion to the stores' sizes, as long as they agree on which are
// full. A store without room is skipped, and so is one that has not confirmed the part after it was
// sent there: otherwise no store would keep the part, and all prompts that begin with it would be
// read.
func (s *selection) chooseSaveStore(key kvindex.Part, tokens int) string {
	if tokens < minSaveTokens {
		return ""
	}
	now := s.Now()
	stores := s.KVIndex.Stores()
	if slices.ContainsFunc(stores, func(h *kvindex.Holder) bool { return h.Has(key) > 0 }) {
		return ""
	}
	nodes := make([]rendezvous.Node, 0, len(stores))
	var unconfirmed []rendezvous.Node
	for _, h := range stores {
		if !s.scope.Contains(h.Domain) || !h.AcceptsSaves(now) || h.FreeTokens() < tokens {
			continue
		}
		node := rendezvous.Node{ID: h.Addr, Weight: float64(h.Tokens)}
		if h.SaveOverdue(key, now) {
			unconfirmed = append(unconfirmed, node)
		} else {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) == 0 {
		nodes = unconfirmed
	}
	owner, _ := rendezvous.Owner(key.ID, nodes)
	for _, h := range stores {
		if h.Addr == owner && h.BeginSave(key, tokens, now) {
			return h.Addr
		}
	}
	return ""
}
