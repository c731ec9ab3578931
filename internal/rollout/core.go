package rollout

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/owner"
)

const (
	// reportInterval is the time between two reports on an engine that does not change, and
	// minReportInterval the minimum time between any two reports.
	reportInterval    = 10 * time.Second
	minReportInterval = 250 * time.Millisecond
)

// ConfigSource provides the newest configuration.
type ConfigSource interface {
	View() *config.View
}

// Owner is the local owner of engines. A run starts on an engine only after its owner has granted it.
type Owner interface {
	// Runs returns the number of runs that an engine completed or failed on a version since it was
	// first seen to hold it, or the zero value if it does not hold the version.
	Runs(endpoint, model, version string) owner.Tally
	// Observe records the state of an engine.
	Observe(endpoint string, state *enginewire.State)
	// Withhold stops grants for one model on an engine. An empty model allows grants for all models again.
	Withhold(endpoint, model string)
}

var _ Owner = (*owner.Service)(nil)

// Reporter delivers a report to the board of its model, on this node or another.
type Reporter interface {
	// BoardOwner returns the node that owns the board of a model.
	BoardOwner(model string) string
	// Report is idempotent.
	Report(ctx context.Context, r Report) (Standing, error)
}

// core is the state shared by the workers of one node.
type core struct {
	claimer      *claim.Claimer
	configSource ConfigSource
	engines      Engines
	owner        Owner
	reporter     Reporter
	// leaving reports whether an engine's host is being taken out of service.
	leaving func(*pb.Endpoint) bool
	// configFresh reports whether the configuration is recent enough to act on.
	configFresh func() bool
	counters    *Counters
	log         zerolog.Logger
}

// lastReport is the latest report on one model, with the reply to it.
type lastReport struct {
	at         time.Time
	boardOwner string
	report     Report
	reply      Standing
}

// reportAll reports on all models of the engine and returns the replies. state is nil if the engine
// does not answer.
func (w *worker) reportAll(ctx context.Context, endpoint *pb.Endpoint, want DesiredState, state *enginewire.State) map[string]Standing {
	replies := make(map[string]Standing, len(want.Targets))
	for _, t := range want.Targets {
		r := w.report(endpoint, t, state)
		last := w.lastReport[t.Model]
		boardOwner := w.reporter.BoardOwner(t.Model)
		since := time.Since(last.at)
		if since < minReportInterval || (since < reportInterval && last.unchanged(r, boardOwner, t)) {
			replies[t.Model] = last.reply
			continue
		}
		next := lastReport{at: time.Now(), boardOwner: boardOwner, report: r}
		reply, err := w.reporter.Report(ctx, r)
		if err == nil {
			next.reply = reply
			replies[t.Model] = reply
		}
		w.lastReport[t.Model] = next
	}
	return replies
}

// unchanged reports whether a report contains nothing new for the board, and the board has nothing
// pending for the engine.
func (t lastReport) unchanged(r Report, boardOwner string, target Target) bool {
	_, has := r.holding(target.Version)
	settled := t.reply.Stage == Settled && (has || target.Version == "")
	return settled && boardOwner == t.boardOwner && slices.EqualFunc(t.report.Holdings, r.Holdings, sameHolding) && t.report.Down == r.Down
}

func sameHolding(a, b Holding) bool { return a.Version == b.Version && a.Loading == b.Loading }

func (w *worker) report(endpoint *pb.Endpoint, t Target, state *enginewire.State) Report {
	r := Report{Model: t.Model, Engine: w.name, Domain: endpoint.GetFailureDomain(), Down: state == nil || state.Role == roleLeaving || w.leaving(endpoint)}
	if state == nil {
		return r
	}
	for _, l := range state.Loaded {
		if l.Model != t.Model || l.Adapter != "" {
			continue
		}
		tally := w.owner.Runs(w.name, l.Model, l.Version)
		h := Holding{Version: l.Version, Loading: l.Loading, Completed: tally.Completed, Failed: tally.Failed}
		if !tally.Since.IsZero() {
			h.Age = time.Since(tally.Since)
		}
		r.Holdings = append(r.Holdings, h)
	}
	slices.SortFunc(r.Holdings, func(a, b Holding) int { return strings.Compare(a.Version, b.Version) })
	return r
}
