// Package telemetry collects a node's metrics and serves them in the Prometheus text
// format.
//
// Guarantee: the number of series is bounded for any number of client accounts. The
// accounts with the most recent traffic have series of their own; the others share one
// label. Recording a request of a known account does not allocate.
package telemetry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cherryward/cherryward/internal/entry"
	"github.com/cherryward/cherryward/internal/result"
)

// success is the code label of requests that succeeded.
const success result.Code = 0

// Metrics holds the metrics of one node. It is safe for concurrent use.
type Metrics struct {
	set        *metrics.Set
	outcomes   map[result.Code]*metrics.Counter
	ungoverned *metrics.Counter
	exported   *metrics.Counter
	accounts   *ranking
}

var _ entry.Recorder = (*Metrics)(nil)

// New returns the metrics of a node, with all counters at zero.
func New() *Metrics {
	set := metrics.NewSet()
	m := &Metrics{
		set:        set,
		outcomes:   make(map[result.Code]*metrics.Counter),
		ungoverned: set.NewCounter(nameRunsWithoutGrant),
		exported:   set.NewCounter(nameExported),
		accounts:   newRanking(set, time.Now()),
	}
	m.addOutcome(success)
	for _, info := range result.All() {
		m.addOutcome(info.Code)
	}
	return m
}

// addOutcome registers a result code's counter at zero, so that its first increment is
// visible as a rate.
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
	m.accounts.series(r.Account, r.Class, traffic, time.Now()).observe(&r)
}

// AddExportedBytes adds bytes of context that were exported from an engine to a store host.
func (m *Metrics) AddExportedBytes(bytes int64) { m.exported.AddInt64(bytes) }

// CountRunWithoutGrant counts a run that was started without a grant of the endpoint's owner.
func (m *Metrics) CountRunWithoutGrant() { m.ungoverned.Inc() }

// ServeHTTP serves the metrics of the node and of its process.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
