package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/config"
)

const (
	// The holders of a model's versions are fetched every steadyInterval while only the requested
	// version serves, and every rolloutInterval during a rollout.
	steadyInterval  = 5 * time.Second
	rolloutInterval = time.Second
	// maxHoldersAge is the maximum age of an answer that is used if no newer one is available.
	maxHoldersAge = time.Minute
	// firstAnswerTimeout limits the time that a request waits for the first answer.
	firstAnswerTimeout = 300 * time.Millisecond
)

// ServingVersion selects the weight version of a new request among the versions that engines hold, in
// proportion to the number of engines that hold each. A draw in [0, 1) that selects the configured
// version continues to select it while its share grows. Without holders the configured version is used.
// A withdrawn version is never selected. It returns false if no version may serve. It is a pure
// function.
func ServingVersion(view *config.View, model string, holders []Holders, draw float64) (string, bool) {
	m, ok := view.Model(model)
	if !ok {
		return "", false
	}
	wanted := m.GetVersion()
	total, cumulative := 0, 0
	var usable []Holders
	for _, h := range holders {
		if !serviceable(view, model, h.Version) {
			continue
		}
		total += h.Count
		if h.Version == wanted {
			usable = slices.Insert(usable, 0, h)
			continue
		}
		usable = append(usable, h)
	}
	for _, h := range usable {
		cumulative += h.Count
		if draw*float64(total) < float64(cumulative) {
			return h.Version, true
		}
	}
	return wanted, serviceable(view, model, wanted)
}

func serviceable(view *config.View, model, version string) bool {
	v, ok := view.Version(model, version)
	return ok && !v.GetWithdrawn()
}

// VersionSelector caches which engines hold which versions, for this node's requests. It is safe for
// concurrent use.
type VersionSelector struct {
	configSource ConfigSource
	// fetch requests the holders from the model's board.
	fetch func(ctx context.Context, model string) (*holdersResponse, error)

	mu     sync.Mutex
	models map[string]*cachedHolders
}

type cachedHolders struct {
	holders     []Holders
	at          time.Time // time of the answer
	requestedAt time.Time
	first       chan struct{} // closed after the first answer or failure
	once        sync.Once
}

func newVersionSelector(configSource ConfigSource, fetch func(context.Context, string) (*holdersResponse, error)) *VersionSelector {
	return &VersionSelector{configSource: configSource, fetch: fetch, models: make(map[string]*cachedHolders)}
}

// Serving selects the version of a new request; see ServingVersion. Only the first request of a model
// may wait for an answer.
func (v *VersionSelector) Serving(ctx context.Context, view *config.View, model string, draw float64) (string, bool) {
	return ServingVersion(view, model, v.holders(ctx, view, model), draw)
}

// Holding returns the engines that hold a version according to the last answer of the board, or nil if
// that answer is older than maxHoldersAge.
func (v *VersionSelector) Holding(model, version string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.models[model]
	if c == nil || time.Since(c.at) > maxHoldersAge {
		return nil
	}
	for _, h := range c.holders {
		if h.Version == version {
			return h.Engines
		}
	}
	return nil
}

// Reselect selects another version after no engine accepted the request on the refused versions. It
// first refreshes the holders. It prefers other versions that have holders, then the eligible version
// with the latest configuration revision that was not refused, and then any version that has holders. It
// returns false if there is none.
func (v *VersionSelector) Reselect(ctx context.Context, model string, refused []string, draw float64) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, firstAnswerTimeout)
	defer cancel()
	v.refresh(ctx, model, v.entry(model))
	view := v.configSource.View()
	holders := v.holders(ctx, view, model)
	isRefused := func(h Holders) bool { return slices.Contains(refused, h.Version) }
	others := slices.DeleteFunc(slices.Clone(holders), isRefused)
	if len(others) > 0 {
		return ServingVersion(view, model, others, draw)
	}
	if version, ok := latestExcept(view, model, refused); ok {
		return version, true
	}
	version, ok := ServingVersion(view, model, holders, draw)
	return version, ok && len(holders) > 0
}

// latestExcept returns the eligible version of a model with the latest configuration revision that is
// not among refused, or false if there is none.
func latestExcept(view *config.View, model string, refused []string) (string, bool) {
	var newest config.Item
	var found string
	for _, version := range eligible(view, model) {
		item, _ := view.Item(config.KindVersion, config.VersionName(model, version))
		if !slices.Contains(refused, version) && item.Revision > newest.Revision {
			newest, found = item, version
		}
	}
	return found, found != ""
}

func (v *VersionSelector) entry(model string) *cachedHolders {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.models[model]
	if c == nil {
		c = &cachedHolders{first: make(chan struct{})}
		v.models[model] = c
	}
	return c
}

func (v *VersionSelector) holders(ctx context.Context, view *config.View, model string) []Holders {
	m, ok := view.Model(model)
	if !ok {
		return nil
	}
	c := v.entry(model)
	v.mu.Lock()
	stale := time.Since(c.requestedAt) > c.interval(m.GetVersion())
	if stale {
		c.requestedAt = time.Now()
	}
	v.mu.Unlock()
	if stale {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
			defer cancel()
			v.refresh(ctx, model, c)
		}()
	}
	timer := time.NewTimer(firstAnswerTimeout)
	defer timer.Stop()
	select {
	case <-c.first:
	case <-timer.C:
	case <-ctx.Done():
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Since(c.at) > maxHoldersAge {
		return nil
	}
	return c.holders
}

// interval returns the time between two fetches.
func (c *cachedHolders) interval(wanted string) time.Duration {
	if len(c.holders) == 1 && c.holders[0].Version == wanted {
		return steadyInterval
	}
	return rolloutInterval
}

// refresh fetches the holders from the board. An incomplete answer does not replace an earlier
// answer younger than maxHoldersAge; an empty answer replaces nothing.
func (v *VersionSelector) refresh(ctx context.Context, model string, c *cachedHolders) {
	answer, err := v.fetch(ctx, model)
	v.mu.Lock()
	defer v.mu.Unlock()
	c.once.Do(func() { close(c.first) })
	if err != nil || len(answer.Holders) == 0 || (!answer.Complete && time.Since(c.at) < maxHoldersAge) {
		return
	}
	c.holders, c.at = answer.Holders, time.Now()
}
