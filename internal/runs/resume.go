package runs

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/answer"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runid"
)

// ResumeRequest asks for the rest of a run that an engine holds.
type ResumeRequest struct {
	Account  string
	Run      string
	Offset   int // answer tokens that the caller has
	Deadline time.Time
}

// Resume streams the rest of a run from the engine that holds it. A run of
// another account gives result.RunNotFound, like one that never was. Safe to
// repeat: the engine sends the same tokens again.
func (d *Dispatcher) Resume(ctx context.Context, req ResumeRequest, sink Sink) (Summary, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	id, err := runid.Parse(d.Key, req.Account, req.Run)
	if err != nil {
		return Summary{}, err
	}
	endpoint, ok := d.Directory.View().Endpoint(id.Endpoint)
	if !ok || req.Offset < id.Base {
		return Summary{}, result.New(result.RunNotFound)
	}
	r := &engineRun{
		d:     d,
		p:     &progress{sink: sink, begun: time.Now(), tokens: req.Offset},
		base:  endpoint.GetUrl(),
		name:  id.Endpoint,
		id:    req.Run,
		begun: time.Now(),
		first: id.Base,
	}
	want := answer.Expected{Run: req.Run, CacheSalt: d.Salter.CacheSalt(req.Account)}
	r.checker = answer.NewResumedChecker(want, req.Offset-id.Base)
	w := newWatchdog(ctx, resumeTimeout)
	defer w.stop()
	stream, err := d.Engines.Resume(w.ctx, r.base, r.id, r.checker.Tokens())
	if err != nil {
		return Summary{}, heldError(w.explain(ctx, err))
	}
	err = w.explain(ctx, r.read(ctx, stream, w))
	return r.p.sum, r.readOn(ctx, err)
}

// heldError tells the caller that the run is gone where the engine said so.
func heldError(err error) error {
	if engine.CodeOf(err) == enginewire.ErrRunUnknown {
		return result.Wrap(err, result.RunNotFound)
	}
	return result.Wrap(err, result.From(err).Code, result.WithRunState(result.MayHaveRun))
}
