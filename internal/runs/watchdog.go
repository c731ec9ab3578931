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

// watchdog cancels a stream on which no frames arrive: the connection of a paused or
// disconnected engine stays open, so that reads would block.
type watchdog struct {
	ctx     context.Context // of the stream
	cancel  context.CancelFunc
	timer   *time.Timer
	stalled atomic.Bool
}

// newWatchdog returns a watchdog that allows firstFrameTimeout until the first frame.
func newWatchdog(ctx context.Context, firstFrameTimeout time.Duration) *watchdog {
	w := &watchdog{}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.timer = time.AfterFunc(firstFrameTimeout, func() {
		w.stalled.Store(true)
		w.cancel()
	})
	return w
}

// reset restarts the timeout when a frame has arrived.
func (w *watchdog) reset() { w.timer.Reset(stallTimeout) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel()
}

// wrapError replaces err by the cause of ctx's end if that canceled the stream, or wraps err if the
// stream stalled.
func (w *watchdog) wrapError(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil && w.ctx.Err() != nil && !w.stalled.Load():
		return contextError(ctx, err)
	case w.stalled.Load():
		return result.Wrap(err, result.EndpointFailed, result.WithMessage("nothing came from the engine for too long"))
	}
	return err
}

// contextError returns the cause of the context's end, with the run state may_have_run. An error
// that states not_run is returned unchanged.
func contextError(ctx context.Context, err error) error {
	if result.From(err).RunState == result.NotRun {
		return err
	}
	cause := context.Cause(ctx)
	return result.Wrap(cause, result.From(cause).Code, result.WithRunState(result.MayHaveRun))
}
