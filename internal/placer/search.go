package placer

import (
	"time"

	"github.com/cherryward/cherryward/internal/enginemodel"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kept"
	"github.com/cherryward/cherryward/internal/peerload"
)

const (
	// tellingFetch is the number of tokens from which a fetch takes long enough to tell
	// of its store.
	tellingFetch = 1000
)

// search is the choice of an engine for one prompt. What doesn't depend on the engine
// is looked up once.
type search struct {
	*Placer
	q       *forward.Query
	now     time.Time
	rollout *rollout
	others  peerload.Sums
	late    map[string]float64 // ms that peers' fetches come late, by the holder's address
	home    *fleet.Member      // may be nil
	located map[int64]*located
	plans   map[*fleet.Member]*plan
	service *service
	figures enginemodel.Figures
	among   int      // engines, of which the prompt is placed on one
	reserve int      // tokens that the prompt asks for at least
	many    bool     // engines' memory holds many prompts
	sources []source // of the parts that reusable last looked at
	// until is when fetches are thrown away, on the engines' clock in ms. It is read before
	// it is asked which parts may be named, so that a node which freezes in between names
	// none for longer.
	until int64
}

func (p *Placer) search(q *forward.Query, r *rollout) *search {
	now := p.Now()
	service := p.Services.of(q.Service.Name)
	rank := *priorityOf(q)
	service.needs.Note(rank, holding(q))
	s := &search{
		Placer: p, q: q, now: now, rollout: r, others: p.Peers.Loads(now), late: p.Peers.Late(now), home: p.home(q),
		located: make(map[int64]*located), plans: make(map[*fleet.Member]*plan),
		service: service, figures: service.model.Figures(),
		until: p.Kept.ClockMS() + FetchLimit.Milliseconds(),
	}
	s.many = service.needs.Many(q.Service.Engine.KVTokens)
	s.reserve = s.tuning().reserve(service.needs.Reserve(rank, q.Returned(), q.Service.Engine.KVTokens), q.Service.Engine.KVTokens)
	return s
}

// cost is the predicted time to the first event at an engine, in ms, with what speaks
// for and against it.
func (s *search) cost(m *fleet.Member) float64 {
	plan := s.plan(m)
	plan.waitMs = s.engineCost(m)
	cost := plan.waitMs + s.planMs(plan) + s.rollout.cost(m) + spreadMs*s.Random()
	if m == s.home {
		cost -= homeMs
	}
	if !m.Pool.Kept(s.now) {
		cost += connectMs
	}
	return cost
}

// located is where the parts of the prompt are kept under one version of the weights.
type located struct {
	version int64
	salt    string
	current bool // the version is the wanted one
	parts   []locatedPart
}

// locatedPart is where one part is kept whole. Only holders that may be named count.
type locatedPart struct {
	forward.Part
	engines map[string]*kept.Holder // by id
	stores  []*kept.Holder
	holders []*kept.Holder // engines and stores
}

// locate looks up the parts under a version of the weights. Where it isn't known, engines may
// differ in it: then nothing is fetched, and an engine has what it read itself.
func (s *search) locate(version int64) *located {
	if l := s.located[version]; l != nil {
		return l
	}
	l := &located{version: version, salt: saltOf(s.q, version), current: version >= s.rollout.wanted}
	named := s.Kept.ClockMS() > 0 && s.MayName(s.q.Attributes.Model, version)
	for _, part := range s.q.Attributes.Parts {
		at := s.locatePart(part, l.salt, named)
		if version == 0 {
			at.stores, at.holders = nil, nil
		}
		l.parts = append(l.parts, at)
	}
	s.located[version] = l
	return l
}

func (s *search) locatePart(part forward.Part, salt string, named bool) locatedPart {
	key := kept.Part{Salt: salt, ID: part.ID}
	at := locatedPart{Part: part}
	for id, h := range s.Kept.Engines() {
		// Engines of evacuated failure domains are not asked for KV cache either. Stores, which are no
		// endpoints, are.
		if h.Has(key) >= part.Tokens && !s.evacuated(h.Domain) {
			if at.engines == nil {
				at.engines = make(map[string]*kept.Holder)
			}
			at.engines[id] = h
			at.holders = append(at.holders, h)
		}
	}
	if !named {
		return at
	}
	for _, h := range s.Kept.Stores() {
		if h.Names(s.now) && h.Has(key) >= part.Tokens {
			at.stores = append(at.stores, h)
			at.holders = append(at.holders, h)
		}
	}
	return at
}

// plan works out how an engine would come by the parts, one after the other: it can use
// a part only if it has all before it.
func (s *search) plan(m *fleet.Member) *plan {
	if p := s.plans[m]; p != nil {
		return p
	}
	l := s.locate(m.VersionOf(s.q.Attributes.Model))
	p := &plan{version: l.version, salt: l.salt, current: l.current}
	s.plans[m] = p
	if len(l.parts) == 0 {
		p.reading = s.q.Attributes.PromptTokens
		return p
	}
	reused := s.reusable(m, l)
	for i := range l.parts {
		part := &l.parts[i]
		switch {
		case i >= reused:
			p.reading += part.Tokens
			s.tryHome(m, p, i, part)
		case part.engines[m.ID] != nil:
			p.cached += part.Tokens
			s.backUp(m, p, i, part)
		default:
			s.fetch(m, p, i, part, s.sources[i])
		}
	}
	return p
}

// reusable returns how many of the first parts the engine is not to read: as many as make
// fetching them and reading the rest cost least, together. A small part whose fetch costs more
// than reading it is fetched if that spares reading a large one behind it: judged by
// itself, it would have the whole prompt read.
// s.sources is set for those that are fetched.
func (s *search) reusable(m *fleet.Member, l *located) int {
	s.sources = s.sources[:0]
	reused, least, sum := 0, 0.0, 0.0
	for i := range l.parts {
		part := &l.parts[i]
		from := source{}
		if part.engines[m.ID] == nil {
			from = s.quickest(m, part, part.holders)
			if from.holder == nil {
				break
			}
		}
		s.sources = append(s.sources, from)
		sum += from.ms - s.readMs(part)
		if sum < least {
			reused, least = i+1, sum
		}
	}
	return reused
}

// readMs is what reading a part costs, in ms: its time, and the price of reading again.
func (s *search) readMs(part *locatedPart) float64 {
	return float64(part.Tokens) * (s.figures.TokenMs + againMsPerK/1000)
}

// backUp names a store for part i, which the engine is believed to keep: an engine fetches
// only what it lacks, and its memory may have turned over since its events were read, up to
// 0.4 s ago. It gains most where engines hold few long prompts.
func (s *search) backUp(m *fleet.Member, p *plan, i int, part *locatedPart) {
	if from := s.quickest(m, part, part.stores); from.holder != nil && from.ms < s.readMs(part) {
		p.name(i, len(s.q.Attributes.Parts), from.holder.Addr)
		p.fromStore = true
	}
}

// fetch adds a source of part i to the plan. An engine that nobody follows may have the part
// itself, and fetches nothing then.
func (s *search) fetch(m *fleet.Member, p *plan, i int, part *locatedPart, from source) {
	p.name(i, len(s.q.Attributes.Parts), from.holder.Addr)
	if from.holder.Tokens > 0 {
		p.fromStore = true
		if from.ms > p.slowestMs {
			p.slowest, p.slowestMs = from.holder, from.ms
		}
	}
	p.fetched += part.Tokens
	p.fetchMs += from.ms
	p.bytes += s.bytes(part)
}

// source is a holder with the time, in ms, that a fetch from it takes.
type source struct {
	holder *kept.Holder // nil for none
	ms     float64
}

// quickest returns the holder other than the engine itself from which it has a part soonest, or
// none where the fetch is likely to be thrown away.
func (s *search) quickest(m *fleet.Member, part *locatedPart, holders []*kept.Holder) source {
	best := source{ms: lostFetchMs}
	for _, h := range holders {
		ms := transferMs(h, s.bytes(part), m.Endpoint().Domain) + s.lateMs(h)
		equal := best.holder != nil && ms == best.ms && h.ID < best.holder.ID
		if h.ID != m.ID && (ms < best.ms || equal) && h.Reachable() {
			best = source{holder: h, ms: ms}
		}
	}
	return best
}

// bytes returns the size of a part's KV cache.
func (s *search) bytes(part *locatedPart) float64 {
	return float64(part.Tokens) * float64(s.q.Service.Engine.TokenBytes)
}

// tryHome names the session's home as the source of a part of which nothing is known,
// where nobody follows what engines keep. If it has none the engine reads the part, a
// ms later.
func (s *search) tryHome(m *fleet.Member, p *plan, i int, part *locatedPart) {
	shared := i < len(s.q.Attributes.Parts)-1
	if !shared || part.Tokens < minSaved || s.home == nil || s.home == m || s.Kept.Engine(m.ID) != nil || p.version == 0 {
		return
	}
	if s.home.VersionOf(s.q.Attributes.Model) == p.version && s.home.Health.Usable(s.now) {
		p.name(i, len(s.q.Attributes.Parts), s.home.Endpoint().Addr)
	}
}

// lateMs is how much later than expected fetches from a holder come, as this node or its
// peers saw.
func (s *search) lateMs(h *kept.Holder) float64 { return max(h.Late.MS(s.now), s.late[h.Addr]) }

// noteBegin returns what learns from the time of the first event how quick the engine is,
// or how late fetches come from the store that the placement leans on most. What an engine's
// own load adds is learned from the prompts that fetch little, and taken off.
func (s *search) noteBegin(m *fleet.Member) func(after time.Duration) {
	p := s.plan(m)
	expected := s.firstMs(m)
	store := p.slowest
	if store != nil {
		expected -= s.lateMs(store)
	}
	ahead := m.Load.Reading() + s.others.Of(m.ID, m.Born).Reading + p.reading
	return func(after time.Duration) {
		now := s.Now()
		late := millis(after) - expected
		if store == nil || p.fetched < tellingFetch {
			s.Usual.Note(late, now)
			s.service.model.Began(m.ID, ahead, after-duration(p.fetchMs), now)
			return
		}
		store.Late.Note(late-s.Usual.MS(now), now)
	}
}
