package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/canary"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/residency"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/weights"
	"github.com/cherryward/cherryward/platform"
)

// state is the configuration and the weight versions that the operators want, with the last time at
// which both were known to be current.
//
// Guarantees: the configuration's version never decreases while the process runs. A node without a
// configuration accepts no requests.
type state struct {
	log      zerolog.Logger
	clock    *clock.Clock // nil is the monotonic clock
	started  time.Time    // start of the process
	bounds   func() bootstrap.Bounds
	rejected *rejected
	config   atomic.Pointer[routing.Config]
	// onConfig, if not nil, is called after a new configuration takes effect.
	onConfig func()
	// onRestored, if not nil, is called after the store came back from an older copy of its data.
	onRestored  func()
	evacuations evacuations
	residencies residency.Tracker // by the keys of policies
	sharings    residency.Tracker // by the sharing keys of configurations
	releases    *canary.Gate
	regions     residency.Map // the region of each failure domain
	domain      string        // failure domain of this node
	// confinedElsewhere is true if the configuration confines requests to regions of other nodes.
	confinedElsewhere atomic.Bool
	confirmedAt       atomic.Pointer[time.Time]

	mu       sync.Mutex
	versions map[string][]announcedVersion // by model, in increasing order
	changed  chan struct{}                 // signaled when a version is announced
}

// announcedVersion is a version of a model that the operators announced.
type announcedVersion struct {
	version int64
	readAt  time.Time // when this node first read it
	// notBefore is the latest time at which the version is known not to have been announced yet, or
	// assumedAnnounceTime for a version found by the first read.
	notBefore time.Time
	// readPromptly is true if the version was read soon after its announcement: the state had been
	// known to be current less than maxFreshConfigAge before.
	readPromptly bool
}

var (
	_ follow.Sink          = (*state)(nil)
	_ forward.ConfigSource = (*state)(nil)
	_ placer.Versions      = (*state)(nil)
	_ weights.Wanted       = (*state)(nil)
)

func newState(bounds func() bootstrap.Bounds, log zerolog.Logger) *state {
	limits := residency.Limits{
		MaxFreshAge: maxFreshConfigAge, MaxFreeTime: kvindex.MaxFreeTime, ReferenceTime: replacedReferenceTime, FreeDelay: freeDelay,
	}
	return &state{
		log: log, started: time.Now(), bounds: bounds, rejected: newRejected(log), releases: &canary.Gate{},
		versions: make(map[string][]announcedVersion), changed: make(chan struct{}, 1),
		residencies: residency.Tracker{Limits: limits}, sharings: residency.Tracker{Limits: limits},
	}
}

// observation is when a batch of records was read, and the earliest time at which they may have
// been written.
type observation struct {
	at, notBefore time.Time
	readPromptly  bool
	// source and age are those of the batch.
	source follow.Source
	age    time.Duration
}

// startMargin is how long before the end of the startup grace period the last prompts are placed on
// replaced weights. It covers the time from a placement to its arrival at the engine, and
// scheduling delays of a busy host.
const startMargin = 250 * time.Millisecond

// assumedAnnounceTime returns the announcement time that is assumed for a version found by the
// first read, since the version may have been announced at any earlier time. Engines with older
// weights receive prompts until the startup grace period ends. The time is counted from the start
// of the process, not from the read, and depends on the configured bounds.
func (s *state) assumedAnnounceTime() time.Time {
	bounds := s.bounds()
	return s.started.Add(bounds.StableWindow - startMargin - placer.ReplacedLimit(bounds.VersionApplyLimit))
}

// startupGrace implements placer.Placer.ReplacedGrace. It returns the start of the process and the
// end of the stable window that follows it.
func (s *state) startupGrace() (started, until time.Time) {
	return s.started, s.started.Add(s.bounds().StableWindow)
}

// Apply implements follow.Sink. The configuration and the evacuations are stored before the time at
// which they were current. A reader that loads them in the reverse order therefore never takes the
// state for fresher than it is.
func (s *state) Apply(b follow.Batch) {
	obs := observation{at: s.clock.Now(), notBefore: s.assumedAnnounceTime(), source: b.Source, age: b.Age}
	if before := s.confirmedAt.Load(); before != nil {
		obs.notBefore = *before
		obs.readPromptly = max(b.Gap, b.ConfirmedAt.Sub(*before)) < maxFreshConfigAge
	}
	for _, change := range s.evacuations.apply(&b) {
		s.log.Info().Str("event", "evacuation").Str("domain", change.domain).Bool("in_force", change.evacuated).Int64("offset", follow.OffsetOf(change.offset)).Send()
	}
	for i := range b.Records {
		s.applyRecord(&b.Records[i], &obs)
	}
	s.confirmedAt.Store(&b.ConfirmedAt)
	if b.Restored && s.onRestored != nil {
		s.onRestored()
	}
}

func (s *state) applyRecord(r *follow.Record, obs *observation) {
	if service, ok := platform.ReleaseService(r.Key); ok {
		s.applyReleaseOrder(service, r, obs)
		return
	}
	if r.Value == nil {
		return // operators never remove a configuration
	}
	if platform.IsConfig(r.Key) {
		s.applyConfig(r, obs)
		return
	}
	if model, ok := platform.ModelOf(r.Key); ok {
		s.applyVersion(model, r, obs)
	}
}

func (s *state) applyConfig(r *follow.Record, obs *observation) {
	config, err := platform.DecodeConfig(r.Value)
	if err != nil {
		s.rejected.record(r, err) // the previous configuration stays in effect
		return
	}
	before := s.config.Load()
	if before != nil && config.Version <= before.Version {
		return
	}
	if before != nil {
		config.InheritMoves(before, obs.at)
	}
	policies := config.Residencies()
	s.residencies.Update(residency.KeysOf(policies), obs.at, obs.readPromptly)
	s.sharings.Update([]string{config.SharingKey()}, obs.at, obs.readPromptly)
	s.confinedElsewhere.Store(slices.ContainsFunc(policies, func(p residency.Policy) bool { return !s.regions.Scope(p).Contains(s.domain) }))
	s.config.Store(config)
	s.logUnknownRegions(config.Version, policies)
	s.log.Info().Str("event", "config").Int64("version", config.Version).Int64("offset", follow.OffsetOf(r.Offset)).
		Int("routes", len(config.Routes)).Int("accounts", len(config.Accounts)).Int("prioritized", countPrioritized(config)).
		Stringer("source", obs.source).Int64("age_ms", obs.age.Milliseconds()).Int("bytes", len(r.Value)).Send()
	if s.onConfig != nil {
		s.onConfig()
	}
}

// logUnknownRegions logs the regions in which requests may be served although no failure domain is
// there: requests that may be served nowhere else are refused.
func (s *state) logUnknownRegions(version int64, policies []residency.Policy) {
	var unknown []string
	for _, p := range policies {
		unknown = append(unknown, s.regions.Unknown(p)...)
	}
	if len(unknown) == 0 {
		return
	}
	slices.Sort(unknown)
	s.log.Warn().Str("event", "regions_unknown").Int64("version", version).Strs("regions", slices.Compact(unknown)).Send()
}

// applyReleaseOrder applies an order to move a service to another release, or its withdrawal. After an
// invalid record the order before stays in force.
func (s *state) applyReleaseOrder(service string, r *follow.Record, obs *observation) {
	if r.Value == nil {
		s.releases.Withdraw(service)
		return
	}
	order, err := platform.DecodeReleaseOrder(service, r.Value)
	if err != nil {
		s.rejected.record(r, err)
		return
	}
	order.ID, order.ReadAt = follow.OffsetOf(r.Offset), obs.at
	s.releases.SetOrder(order)
	s.log.Info().Str("event", "release_ordered").Str("service", service).Str("release", order.Release).
		Int64("order", order.ID).Int64("within_ms", order.Within.Milliseconds()).Send()
}

// countPrioritized returns the number of client accounts that have a priority of their own.
func countPrioritized(c *routing.Config) int {
	count := 0
	for i := range c.Accounts {
		if c.Accounts[i].Priority != nil {
			count++
		}
	}
	return count
}

func (s *state) applyVersion(model string, r *follow.Record, obs *observation) {
	version, err := platform.DecodeVersion(model, r.Value)
	if err != nil {
		s.rejected.record(r, err)
		return
	}
	s.mu.Lock()
	announced := s.versions[model]
	newer := len(announced) == 0 || version > announced[len(announced)-1].version
	if newer {
		s.versions[model] = append(announced, announcedVersion{version: version, readAt: obs.at, notBefore: obs.notBefore, readPromptly: obs.readPromptly})
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	s.log.Info().Str("event", "weights_named").Str("model", model).Int64("version", version).Int64("offset", follow.OffsetOf(r.Offset)).
		Int64("age_at_most_ms", obs.at.Sub(obs.notBefore).Milliseconds()).Bool("prompt", obs.readPromptly).Send()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Config implements forward.ConfigSource.
func (s *state) Config() (*routing.Config, time.Duration) {
	confirmedAt := s.confirmedAt.Load()
	if confirmedAt == nil {
		return nil, 0
	}
	return s.config.Load(), s.clock.Since(*confirmedAt)
}

// Evacuated reports whether operators have evacuated a failure domain, so that its endpoints must
// receive no requests.
func (s *state) Evacuated(domain string) bool { return s.evacuations.isEvacuated(domain) }

// Wanted implements placer.Versions.
func (s *state) Wanted(model string) (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	announced := s.versions[model]
	if len(announced) == 0 {
		return 0, time.Time{}
	}
	newest := announced[len(announced)-1]
	return newest.version, newest.notBefore
}

// replaced returns the first announced version that is newer than the given one, and false if none
// is.
func (s *state) replaced(model string, version int64) (by announcedVersion, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, announced := range s.versions[model] {
		if announced.version > version {
			return announced, true
		}
	}
	return announcedVersion{}, false
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
