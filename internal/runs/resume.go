package runs

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/framecheck"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runid"
)

// ResumeRequest is a request for the rest of a run that an engine holds.
type ResumeRequest struct {
	Account  string
	Run      string
	Offset   int // answer tokens that the caller has received
	Deadline time.Time
}

// Resume streams the rest of a run from the engine that holds it. It fails with result.RunNotFound
// if the run belongs to another account or does not exist. It is safe to repeat: the engine sends
// the same tokens again.
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
		d:          d,
		p:          &progress{sink: sink, startedAt: time.Now(), tokens: req.Offset},
		baseURL:    endpoint.GetUrl(),
		name:       id.Endpoint,
		id:         req.Run,
		startedAt:  time.Now(),
		baseTokens: id.Base,
	}
	want := framecheck.Expected{Run: req.Run, CacheSalt: d.Salter.CacheSalt(req.Account)}
	r.checker = framecheck.NewResumedChecker(want, req.Offset-id.Base)
	w := newWatchdog(ctx, resumeTimeout)
	defer w.stop()
	stream, err := d.Engines.Resume(w.ctx, r.baseURL, r.id, r.checker.Tokens())
	if err != nil {
		return Summary{}, resumeError(w.wrapError(ctx, err))
	}
	err = w.wrapError(ctx, r.readStream(ctx, stream, w))
	return r.p.summary, r.resumeWhileBroken(ctx, err)
}

// resumeError converts an engine's error on resuming: RunNotFound if the engine no longer holds the
// run, otherwise the error with the run state may_have_run.
func resumeError(err error) error {
	if engine.CodeOf(err) == enginewire.ErrRunUnknown {
		return result.Wrap(err, result.RunNotFound)
	}
	return result.Wrap(err, result.From(err).Code, result.WithRunState(result.MayHaveRun))
}
