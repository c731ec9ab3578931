package runs

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/internal/result"
)

const (
	// stallTimeout is the longest time between two frames of a run that has begun.
	stallTimeout = 5 * time.Second
	// resumeTimeout is the longest wait for the first frame of a resumed run.
	resumeTimeout = 2 * time.Second
)

// watchdog cuts a stream from which nothing comes: an engine that is paused or
// cut off closes no connection.
type watchdog struct {
	ctx     context.Context // of the stream
	cancel  context.CancelFunc
	timer   *time.Timer
	stalled atomic.Bool
}

// newWatchdog allows patience until the first frame.
func newWatchdog(ctx context.Context, patience time.Duration) *watchdog {
	w := &watchdog{}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.timer = time.AfterFunc(patience, func() {
		w.stalled.Store(true)
		w.cancel()
	})
	return w
}

// feed notes that a frame has come.
func (w *watchdog) feed() { w.timer.Reset(stallTimeout) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel()
}

// explain gives an error the reason for which the stream was cut: the end of the
// request's context, or the stall.
func (w *watchdog) explain(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil && w.ctx.Err() != nil && !w.stalled.Load():
		return ctxError(ctx, err)
	case w.stalled.Load():
		return result.Wrap(err, result.EndpointBrokeOff, result.WithMessage("nothing came from the engine for too long"))
	}
	return err
}

// ctxError keeps a failure that certainly did not run; else the context's end is
// the reason.
func ctxError(ctx context.Context, err error) error {
	if result.From(err).RunState == result.NotRun {
		return err
	}
	cause := context.Cause(ctx)
	return result.Wrap(cause, result.From(cause).Code, result.WithRunState(result.MayHaveRun))
}
