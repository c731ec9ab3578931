package placer

import (
	"time"

	"github.com/cherryward/cherryward/internal/enginemodel"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/residency"
)

const (
	// minObservedFetch is the size, in tokens, from which the duration of a fetch is attributed to
	// its store: smaller fetches are too short to measure it.
	minObservedFetch = 1000
)

// selection is the state of selecting an engine for one prompt. It caches what doesn't depend on
// the engine.
type selection struct {
	*Placer
	q              *forward.Query
	now            time.Time
	rollout        *rollout
	peerLoads      peerload.LoadView
	peerDelays     map[string]float64 // average delay of peers' fetches in ms, by the holder's address
	scope          residency.Scope    // failure domains in which KV cache of the prompt may be kept
	home           *fleet.Member      // may be nil
	located        map[int64]*located
	plans          map[*fleet.Member]*plan
	service        *service
	estimates      enginemodel.Estimates
	candidateCount int      // number of engines among which the prompt is placed
	reserve        int      // free memory that the prompt requires, in tokens
	holdsMany      bool     // an engine's memory holds many prompts
	slotRule       slotRule // how slots limit the placement
	unreported     float64  // share of each engine's memory that is left free for unreported prompts
	sources        []source // sources of the first parts, set by reusedParts
	pace           pace
	// fetchUntil is the time after which the results of fetches are discarded, on the engines'
	// clock in ms. The clock is read before the check of which parts may be referenced, so that a
	// node that is suspended between the two does not reference parts for longer than allowed.
	fetchUntil int64
}

func (p *Placer) selection(q *forward.Query, r *rollout) *selection {
	now := p.Now()
	service := p.Services.forName(q.Service.Name)
	priority := *priorityOf(q)
	service.demand.RecordSize(priority, averageHeldTokens(q))
	s := &selection{
		Placer: p, q: q, now: now, rollout: r, peerLoads: p.PeerLoads.Loads(now), peerDelays: p.PeerLoads.Late(now), home: p.home(q),
		scope:   p.Regions.Scope(q.Residency),
		located: make(map[int64]*located), plans: make(map[*fleet.Member]*plan),
		service: service, estimates: service.model.Estimates(),
		fetchUntil: p.KVIndex.ClockMS() + FetchLimit.Milliseconds(),
	}
	s.pace = s.currentPace()
	s.holdsMany = service.demand.HoldsMany(q.Service.Engine.KVTokens)
	s.unreported = s.unreportedMemory()
	s.reserve = s.tuning().reserve(service.demand.Reserve(priority, q.IsRetry(), q.Service.Engine.KVTokens), q.Service.Engine.KVTokens)
	s.slotRule = s.newSlotRule()
	return s
}

// cost returns the cost of an engine in ms: the predicted time to the first event, adjusted for
// rollout, home engine, connection and jitter.
func (s *selection) cost(m *fleet.Member) float64 {
	plan := s.plan(m)
	plan.waitMs = s.engineCost(m)
	cost := plan.waitMs + s.planMs(m, plan) + s.stallMs(m) + s.rollout.cost(m) + jitterMs*s.Random()
	if m == s.home {
		cost -= homeBonusMs
	}
	if !s.connected(m, s.now) {
		cost += connectMs
	}
	return cost
}

// located lists where the parts of the prompt are kept for one version of the weights.
type located struct {
	version int64
	salt    string
	current bool // the version is the wanted one
	parts   []locatedPart
}

// locatedPart lists the holders that keep one part in full. Only holders that may be referenced are
// included.
type locatedPart struct {
	forward.Part
	engines map[string]*kvindex.Holder // by ID
	stores  []*kvindex.Holder
	holders []*kvindex.Holder // engines and stores
}

// locate finds the holders of the parts for a version of the weights. If the version is unknown
// (0), engines may have different weights: then nothing is fetched, and each engine uses only what
// it computed itself.
func (s *selection) locate(version int64) *located {
	if l := s.located[version]; l != nil {
		return l
	}
	salt := saltOf(s.q, version)
	l := &located{version: version, salt: salt.String(), current: version >= s.rollout.wanted}
	mayReference := s.KVIndex.ClockMS() > 0 && s.MayReference(salt)
	for _, part := range s.q.Attributes.Parts {
		p := s.locatePart(part, l.salt, mayReference)
		if version == 0 {
			p.stores, p.holders = nil, nil
		}
		l.parts = append(l.parts, p)
	}
	s.located[version] = l
	return l
}

func (s *selection) locatePart(part forward.Part, salt string, mayReference bool) locatedPart {
	key := kvindex.Part{Salt: salt, ID: part.ID}
	result := locatedPart{Part: part}
	for id, h := range s.KVIndex.Engines() {
		// KV cache is not fetched from engines of evacuated failure domains. It is fetched from
		// stores there, as stores are not endpoints.
		if h.Has(key) >= part.Tokens && !s.evacuated(h.Domain) && s.scope.Contains(h.Domain) {
			if result.engines == nil {
				result.engines = make(map[string]*kvindex.Holder)
			}
			result.engines[id] = h
			result.holders = append(result.holders, h)
		}
	}
	if !mayReference {
		return result
	}
	for _, h := range s.KVIndex.Stores() {
		if h.ConfirmedRecently(s.now) && h.Has(key) >= part.Tokens && s.scope.Contains(h.Domain) {
			result.stores = append(result.stores, h)
			result.holders = append(result.holders, h)
		}
	}
	return result
}

// plan returns how an engine would obtain the parts. An engine can use a part only if it has all
// parts before it.
func (s *selection) plan(m *fleet.Member) *plan {
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
	reused := s.reusedParts(m, l)
	for i := range l.parts {
		part := &l.parts[i]
		switch {
		case i >= reused:
			p.reading += part.Tokens
			s.addHomeSource(m, p, i, part)
		case part.engines[m.ID] != nil:
			p.cached += part.Tokens
			s.addBackupSource(m, p, i, part)
		default:
			s.addSource(m, p, i, part, s.sources[i])
		}
	}
	return p
}

// reusedParts returns how many of the first parts the engine should reuse instead of reading them,
// so that fetching these and reading the others has the lowest total cost. A small part whose fetch
// costs more than reading it is fetched if this avoids reading a large part after it. If each part
// were judged by itself, the small part would be read, and so would all parts after it. reusedParts
// sets s.sources for the parts it examines.
func (s *selection) reusedParts(m *fleet.Member, l *located) int {
	s.sources = s.sources[:0]
	reused, minSum, sum := 0, 0.0, 0.0
	for i := range l.parts {
		part := &l.parts[i]
		from := source{}
		if part.engines[m.ID] == nil {
			from = s.fastestSource(m, part, part.holders)
			if from.holder == nil {
				break
			}
		}
		s.sources = append(s.sources, from)
		sum += from.ms - s.readMs(part)
		if sum < minSum {
			reused, minSum = i+1, sum
		}
	}
	return reused
}

// readMs returns the cost of reading a part, in ms: the time it takes, and the cost of reading it
// again.
func (s *selection) readMs(part *locatedPart) float64 {
	return float64(part.Tokens) * (s.estimates.TokenMs + rereadMsPerK/1000)
}

// addBackupSource sets a store as the source of part i, which the engine is expected to hold. An
// engine fetches only parts that it lacks, and may have evicted the part since its events were
// read, up to 0.4 s ago.
func (s *selection) addBackupSource(m *fleet.Member, p *plan, i int, part *locatedPart) {
	if from := s.fastestSource(m, part, part.stores); from.holder != nil && from.ms < s.readMs(part) {
		p.setSource(i, len(s.q.Attributes.Parts), from.holder.Addr)
		p.fromStore = true
	}
}

// addSource adds a source of part i to the plan. If the index receives no events of the engine, the
// engine may already have the part, and does not fetch it then.
func (s *selection) addSource(m *fleet.Member, p *plan, i int, part *locatedPart, from source) {
	p.setSource(i, len(s.q.Attributes.Parts), from.holder.Addr)
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

// source is a holder with the predicted time of a fetch from it, in ms.
type source struct {
	holder *kvindex.Holder // nil for none
	ms     float64
}

// fastestSource returns the holder, other than the engine itself, from which the engine can fetch a
// part fastest. It returns none if the fetch is likely to be discarded.
func (s *selection) fastestSource(m *fleet.Member, part *locatedPart, holders []*kvindex.Holder) source {
	fastest := source{ms: maxFetchMs}
	for _, h := range holders {
		ms := transferMs(h, s.bytes(part), m.Endpoint().Domain, s.Regions) + s.fetchDelayMs(h)
		equal := fastest.holder != nil && ms == fastest.ms && h.ID < fastest.holder.ID
		if h.ID != m.ID && (ms < fastest.ms || equal) && h.Reachable() {
			fastest = source{holder: h, ms: ms}
		}
	}
	return fastest
}

// bytes returns the size of a part's KV cache.
func (s *selection) bytes(part *locatedPart) float64 {
	return float64(part.Tokens) * float64(s.q.Service.Engine.TokenBytes)
}

// addHomeSource sets the session's home engine as the source of a part without known holders, where
// the index receives no events of the engine. If the home engine lacks the part, the engine reads
// the part, 1 ms later than without a source.
func (s *selection) addHomeSource(m *fleet.Member, p *plan, i int, part *locatedPart) {
	shared := i < len(s.q.Attributes.Parts)-1
	if !shared || part.Tokens < minSaveTokens || s.home == nil || s.home == m || s.KVIndex.Engine(m.ID) != nil || p.version == 0 {
		return
	}
	if s.home.VersionOf(s.q.Attributes.Model) == p.version && s.home.Health.Usable(s.now) {
		p.setSource(i, len(s.q.Attributes.Parts), s.home.Endpoint().Addr)
	}
}

// fetchDelayMs returns how much later than predicted fetches from a holder finish, as observed by
// this node or its peers, in ms.
func (s *selection) fetchDelayMs(h *kvindex.Holder) float64 {
	return max(h.Late.MS(s.now), s.peerDelays[h.Addr])
}

// firstEventObserver returns a function that receives the time to the first event. It updates the
// speed estimate of the engine, or the delay estimate of the store with the slowest fetch of the
// placement. Delays caused by the load of the engines are estimated from prompts that fetch little,
// and are subtracted from the observed delay of the store.
func (s *selection) firstEventObserver(m *fleet.Member) func(after time.Duration) {
	p := s.plan(m)
	expected := s.firstMs(m)
	store := p.slowest
	if store != nil {
		expected -= s.fetchDelayMs(store)
	}
	ahead := m.Load.PendingPromptTokens() + s.peerLoads.At(m.ID, m.StartedMs).PendingPromptTokens + p.reading
	return func(after time.Duration) {
		now := s.Now()
		late := millis(after) - expected
		if store == nil || p.fetched < minObservedFetch {
			s.CommonDelay.Observe(late, now)
			s.service.model.RecordFirstEvent(m.ID, ahead, after-duration(p.fetchMs), now)
			return
		}
		store.Late.Observe(late-s.CommonDelay.MS(now), now)
	}
}
