package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/weights"
	"github.com/cherryward/cherryward/platform"
)

// state is what the operators want: the configuration and the versions of
// weights, with the time at which both were certainly current.
//
// Guarantees: the configuration's version never falls while the process runs. A node without a
// configuration has no evacuations either, and takes no requests.
type state struct {
	log      zerolog.Logger
	clock    *clock.Clock // nil is the steady clock
	started  time.Time    // of the process
	bounds   func() bootstrap.Bounds
	rejected *rejected
	config   atomic.Pointer[routing.Config]
	// configured is called when another configuration is in force; nil for nothing.
	configured  func()
	evacuations evacuations
	proven      atomic.Pointer[time.Time]

	mu       sync.Mutex
	versions map[string][]namedVersion // by model, rising
	changed  chan struct{}             // signalled when a version was named
}

// namedVersion is a version of a model that the operators named.
type namedVersion struct {
	version int64
	seen    time.Time // when it was first seen here
	// notBefore is a time at which it was not named yet, as far as is known.
	notBefore time.Time
	// prompt is true where it was seen soon after it was named, since the state
	// was known to be current shortly before.
	prompt bool
}

var (
	_ follow.Sink     = (*state)(nil)
	_ forward.State   = (*state)(nil)
	_ placer.Versions = (*state)(nil)
	_ weights.Wanted  = (*state)(nil)
)

func newState(bounds func() bootstrap.Bounds, log zerolog.Logger) *state {
	return &state{
		log: log, started: time.Now(), bounds: bounds, rejected: newRejected(log),
		versions: make(map[string][]namedVersion), changed: make(chan struct{}, 1),
	}
}

// sight is when a batch of records was seen, and since when they may have been there.
type sight struct {
	at, notBefore time.Time
	prompt        bool
}

// startMargin is how long before a start excuses a node no more its last prompts are placed on
// replaced weights: the way from a placement to the engine, and the late turns of a busy host.
const startMargin = 250 * time.Millisecond

// namedBeforeStart returns when a version counts as named that the first read finds, as it may
// have been at any time before. Engines with older weights get prompts until the start excuses
// the node no more. The time counts from the start, not from the read, and follows the bounds: one
// that is fixed keeps those of some deployments alone.
func (s *state) namedBeforeStart() time.Time {
	bounds := s.bounds()
	return s.started.Add(bounds.StableWindow - startMargin - placer.ReplacedLimit(bounds.VersionApply))
}

// excused implements placer.Placer.Excused.
func (s *state) excused() (started, until time.Time) {
	return s.started, s.started.Add(s.bounds().StableWindow)
}

// Apply implements follow.Sink. The configuration and the evacuations are stored before the time at
// which they were current, so that a reader who takes them the other way round never
// finds it fresher than it is.
func (s *state) Apply(b follow.Batch) {
	sight := sight{at: s.clock.Now(), notBefore: s.namedBeforeStart()}
	if before := s.proven.Load(); before != nil {
		sight.notBefore = *before
		sight.prompt = b.ProvenAt.Sub(*before) < namingAge
	}
	for _, change := range s.evacuations.apply(&b) {
		s.log.Info().Str("event", "evacuation").Str("domain", change.domain).Bool("in_force", change.begun).Int64("offset", change.offset).Send()
	}
	for i := range b.Records {
		s.applyRecord(&b.Records[i], &sight)
	}
	s.proven.Store(&b.ProvenAt)
}

func (s *state) applyRecord(r *follow.Record, sight *sight) {
	if r.Value == nil {
		return // the operators never withdraw a configuration
	}
	if platform.IsConfig(r.Key) {
		s.applyConfig(r)
		return
	}
	if model, ok := platform.ModelOf(r.Key); ok {
		s.applyVersion(model, r, sight)
	}
}

func (s *state) applyConfig(r *follow.Record) {
	config, err := platform.DecodeConfig(r.Value)
	if err != nil {
		s.rejected.record(r, err) // what was in force stays
		return
	}
	before := s.config.Load()
	if before != nil && config.Version <= before.Version {
		return
	}
	s.config.Store(config)
	s.log.Info().Str("event", "config").Int64("version", config.Version).Int64("offset", r.Offset).
		Int("routes", len(config.Routes)).Int("accounts", len(config.Accounts)).Ints("ranks", ranks(config)).Send()
	if s.configured != nil {
		s.configured()
	}
}

// ranks returns the priorities of the client accounts that have one.
func ranks(c *routing.Config) []int {
	var list []int
	for i := range c.Accounts {
		if p := c.Accounts[i].Priority; p != nil {
			list = append(list, *p)
		}
	}
	return list
}

func (s *state) applyVersion(model string, r *follow.Record, sight *sight) {
	version, err := platform.DecodeVersion(model, r.Value)
	if err != nil {
		s.rejected.record(r, err)
		return
	}
	s.mu.Lock()
	named := s.versions[model]
	newer := len(named) == 0 || version > named[len(named)-1].version
	if newer {
		s.versions[model] = append(named, namedVersion{version: version, seen: sight.at, notBefore: sight.notBefore, prompt: sight.prompt})
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	s.log.Info().Str("event", "weights_named").Str("model", model).Int64("version", version).Int64("offset", r.Offset).
		Int64("age_at_most_ms", sight.at.Sub(sight.notBefore).Milliseconds()).Bool("prompt", sight.prompt).Send()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Config implements forward.State.
func (s *state) Config() (*routing.Config, time.Duration) {
	proven := s.proven.Load()
	if proven == nil {
		return nil, 0
	}
	return s.config.Load(), s.clock.Since(*proven)
}

// Evacuated reports whether the operators asked that a failure domain's endpoints get nothing.
func (s *state) Evacuated(domain string) bool { return s.evacuations.inForce(domain) }

// Wanted implements placer.Versions.
func (s *state) Wanted(model string) (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := s.versions[model]
	if len(named) == 0 {
		return 0, time.Time{}
	}
	newest := named[len(named)-1]
	return newest.version, newest.notBefore
}

// replaced returns the first version that replaced one, and false for a version
// that is still wanted.
func (s *state) replaced(model string, version int64) (by namedVersion, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, named := range s.versions[model] {
		if named.version > version {
			return named, true
		}
	}
	return namedVersion{}, false
}

// Replaced implements placer.Versions.
func (s *state) Replaced(model string, version int64) (time.Time, bool) {
	by, ok := s.replaced(model, version)
	return by.notBefore, ok
}

// Models implements weights.Wanted.
func (s *state) Models() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	models := make([]string, 0, len(s.versions))
	for model := range s.versions {
		models = append(models, model)
	}
	return models
}
