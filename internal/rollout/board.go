package rollout

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/config"
)

const (
	// reportTTL is how long a board uses a report.
	reportTTL = 3 * reportInterval
	// gatherTimeout is how long a new board of a model waits for reports before it treats them as
	// complete.
	gatherTimeout = 3 * time.Second
	// maxHolders limits the number of engines listed for one version.
	maxHolders = 64
)

// Holding is one weight version on one engine.
type Holding struct {
	Version string `json:"v"`
	Loading bool   `json:"l,omitempty"`
	// Completed and Failed count the runs since the engine first held the version.
	Completed int `json:"c,omitempty"`
	Failed    int `json:"f,omitempty"`
	// Age is how long the engine has held the version, as observed by its owner.
	Age time.Duration `json:"a,omitempty"`
}

// Report is the report of an engine's owner on one of the engine's models.
type Report struct {
	Model    string    `json:"m"`
	Engine   string    `json:"e"`
	Domain   string    `json:"d"`
	Down     bool      `json:"x,omitempty"` // the engine does not answer, or accepts no new runs
	Holdings []Holding `json:"h,omitempty"`
}

// Standing is the answer to a report.
type Standing struct {
	Model string `json:"m"`
	Stage Stage  `json:"s"`
	// Turn is set if it is this engine's turn to load the requested version.
	Turn bool `json:"g,omitempty"`
}

// Holders lists the engines in service that hold one version.
type Holders struct {
	Version string   `json:"v"`
	Count   int      `json:"n"`
	Engines []string `json:"e"` // at most maxHolders entries
}

// board collects the reports on models at the node that owns each model's key. Its state is not stored.
// While nodes disagree on the owner, a model has two boards. It is safe for concurrent use.
type board struct {
	mu     sync.Mutex
	models map[string]*modelBoard
}

type modelBoard struct {
	since   time.Time
	reports map[string]entry // by engine name
}

type entry struct {
	Report
	at time.Time
}

func newBoard() *board { return &board{models: make(map[string]*modelBoard)} }

// Report records a report and returns the reply to it.
func (b *board) Report(now time.Time, view *config.View, r Report) Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.models[r.Model]
	if m == nil {
		m = &modelBoard{since: now, reports: make(map[string]entry)}
		b.models[r.Model] = m
	}
	m.reports[r.Engine] = entry{Report: r, at: now}
	f, ok := b.combine(now, view, r.Model)
	if !ok {
		return Standing{Model: r.Model, Stage: Gathering}
	}
	return Standing{Model: r.Model, Stage: f.stage(), Turn: slices.Contains(f.turns(), r.Engine)}
}

// Holders returns the versions of a model that new runs may use, with the engines that hold them.
// complete is false while reports are still being collected.
func (b *board) Holders(now time.Time, view *config.View, model string) (holders []Holders, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, complete := b.combine(now, view, model)
	return f.holders(), complete
}

// combine combines the reports on a model with the configuration. It returns false if the model does not
// exist any more, if there is no report on it, or if reports are still being collected.
func (b *board) combine(now time.Time, view *config.View, model string) (modelEngines, bool) {
	m := b.models[model]
	target, ok := targetOf(view, model)
	if !ok || m == nil {
		delete(b.models, model)
		return modelEngines{}, false
	}
	f := modelEngines{target: target}
	f.model, _ = view.Model(model)
	f.size = len(view.Engines(model))
	for name, e := range m.reports {
		endpoint, ok := view.Endpoint(name)
		switch {
		case now.Sub(e.at) > reportTTL || !ok || !slices.Contains(endpoint.GetModels(), model):
			delete(m.reports, name)
		case !endpoint.GetLeaving():
			f.engines = append(f.engines, e.Report)
		}
	}
	slices.SortFunc(f.engines, func(a, b Report) int {
		if c := strings.Compare(a.Domain, b.Domain); c != 0 {
			return c
		}
		return strings.Compare(a.Engine, b.Engine)
	})
	return f, len(f.engines) >= f.size || now.Sub(m.since) >= gatherTimeout
}
