// Package telemetry keeps a node's metrics and serves them in the Prometheus
// text format.
//
// Guarantee: the number of series is bounded, whatever the number of client
// accounts: the largest by recent traffic are named, the rest share one label.
// Measuring a request of a known account allocates nothing.
package telemetry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cherryward/cherryward/internal/entry"
	"github.com/cherryward/cherryward/internal/result"
)

// success is the code label of requests that were answered.
const success result.Code = 0

// Metrics are the metrics of one node. All methods may be called at any time
// and by several goroutines at once.
type Metrics struct {
	set        *metrics.Set
	outcomes   map[result.Code]*metrics.Counter
	ungoverned *metrics.Counter
	exported   *metrics.Counter
	accounts   *ranking
}

var _ entry.Recorder = (*Metrics)(nil)

// New returns the metrics of a node that has served nothing yet.
func New() *Metrics {
	set := metrics.NewSet()
	m := &Metrics{
		set:        set,
		outcomes:   make(map[result.Code]*metrics.Counter),
		ungoverned: set.NewCounter(nameUngoverned),
		exported:   set.NewCounter(nameExported),
		accounts:   newRanking(set, time.Now()),
	}
	m.addOutcome(success)
	for _, info := range result.All() {
		m.addOutcome(info.Code)
	}
	return m
}

// addOutcome starts a code's counter at zero, so that its first increase shows.
func (m *Metrics) addOutcome(code result.Code) {
	m.outcomes[code] = m.set.NewCounter(nameRequests + `{code="` + strconv.Itoa(int(code)) + `"}`)
}

// Request implements entry.Recorder.
func (m *Metrics) Request(r entry.RequestMetrics) {
	outcome, ok := m.outcomes[r.Code]
	if !ok {
		outcome = m.outcomes[result.Internal]
	}
	outcome.Inc()
	if r.Account == "" || !r.IsPrompt {
		return
	}
	traffic := uint64(1 + r.Summary.PromptTokens + r.Summary.OutputTokens)
	m.accounts.series(r.Account, r.Class, traffic, time.Now()).request(&r)
}

// Exported counts bytes of kept context that went from an engine to a store host.
func (m *Metrics) Exported(bytes int64) { m.exported.AddInt64(bytes) }

// Ungoverned counts a run that started without its owner's grant.
func (m *Metrics) Ungoverned() { m.ungoverned.Inc() }

// ServeHTTP writes the metrics.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
