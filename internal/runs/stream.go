package runs

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/result"
)

// maxResumes bounds how often one run is resumed on the engine that holds it.
const maxResumes = 2

// finishLength is the finish reason of an answer that reached its token limit.
const finishLength = "length"

// errNotResumed means that the engine did not resume the run.
var errNotResumed = errors.New("run was not resumed")

// sinkError is a failure to deliver to the caller, which trying another engine can't fix.
type sinkError struct{ cause error }

func (e *sinkError) Error() string { return "write answer to the caller: " + e.cause.Error() }
func (e *sinkError) Unwrap() error { return e.cause }

// resumeWhileBroken resumes a run on the same engine as long as only its stream breaks off. It returns
// nil once the answer is complete, or the latest error if the run can't be resumed.
func (r *engineRun) resumeWhileBroken(ctx context.Context, err error) error {
	for resumes := 0; err != nil && r.mayResume(ctx, err, resumes); resumes++ {
		next := r.resume(ctx)
		if next == errNotResumed {
			return err
		}
		err = next
	}
	return err
}

// resume continues the run after the last delivered token.
func (r *engineRun) resume(ctx context.Context) error {
	w := newWatchdog(ctx, resumeTimeout)
	defer w.stop()
	stream, err := r.d.Engines.Resume(w.ctx, r.baseURL, r.id, r.checker.Tokens())
	if err != nil {
		return errNotResumed
	}
	return w.wrapError(ctx, r.readStream(ctx, stream, w))
}

// readStream delivers the frames of one stream until the answer is complete.
func (r *engineRun) readStream(ctx context.Context, stream *engine.Stream, w *watchdog) error {
	defer stream.Close()
	var frame enginewire.Frame
	for {
		err := stream.Next(&frame)
		if errors.Is(err, io.EOF) {
			return result.New(result.AnswerTruncated)
		}
		if err != nil {
			return err
		}
		w.reset()
		deliver, err := r.checker.Check(&frame)
		if err != nil {
			return err
		}
		if !deliver {
			continue
		}
		if err := r.deliver(&frame); err != nil {
			return err
		}
		if r.checker.Complete() {
			return nil
		}
	}
}

func (r *engineRun) deliver(f *enginewire.Frame) error {
	switch f.Kind {
	case enginewire.FrameStart:
		return r.handleStart(f)
	case enginewire.FrameTokens:
		return r.handleTokens(f)
	case enginewire.FrameEnd:
		r.handleEnd(f)
	}
	return nil
}

func (r *engineRun) handleStart(f *enginewire.Frame) error {
	r.observed.Started = true
	r.observed.Incarnation = f.Incarnation
	r.observed.PromptTokens = f.PromptTokens
	r.observed.CachedTokens = f.CachedTokens
	s := Start{Run: r.id, Endpoint: r.name, Model: f.Model, Adapter: f.Adapter, PromptTokens: f.PromptTokens, CachedTokens: f.CachedTokens}
	if r.p.summary.Engines == 0 {
		r.p.summary.Start = s
	}
	r.p.summary.Engines++
	return wrapSinkError(r.p.sink.Started(s))
}

func (r *engineRun) handleTokens(f *enginewire.Frame) error {
	if r.observed.FirstToken == 0 {
		r.observed.FirstToken = time.Since(r.startedAt)
		r.notifyFirstToken()
	}
	if r.p.summary.FirstToken == 0 {
		r.p.summary.FirstToken = time.Since(r.p.startedAt)
	}
	if r.p.tokens == 0 {
		r.p.release = r.checker.Release()
	}
	r.p.text.WriteString(f.Text)
	r.p.tokens = r.baseTokens + r.checker.Tokens()
	r.observed.OutputTokens = r.checker.Tokens()
	return wrapSinkError(r.p.sink.Tokens(r.id, r.p.tokens, f.Text))
}

// notifyFirstToken notifies the grant of the first token. It does nothing for a resumed run, which has
// no grant.
func (r *engineRun) notifyFirstToken() {
	if r.grant != nil {
		r.grant.FirstToken(r.observed)
	}
}

func (r *engineRun) handleEnd(f *enginewire.Frame) {
	r.markComplete()
	r.observed.Blocks = f.Blocks
	r.p.summary.Finish = f.Finish
}

// markComplete records that the answer is complete, with finish reason length, which an end frame
// replaces.
func (r *engineRun) markComplete() {
	r.observed.Complete = true
	r.p.summary.OutputTokens = r.p.tokens
	r.p.summary.Finish = finishLength
}

func wrapSinkError(err error) error {
	if err == nil {
		return nil
	}
	return result.Wrap(&sinkError{cause: err}, result.CallerDisconnected)
}

// mayResume reports whether the engine may still hold a run whose stream broke off.
func (r *engineRun) mayResume(ctx context.Context, err error, resumes int) bool {
	if ctx.Err() != nil || resumes == maxResumes || !r.observed.Started {
		return false
	}
	code := result.From(err).Code
	return code == result.EndpointFailed || code == result.AnswerTruncated || code == result.AnswerMalformed
}

// cancelInBackground cancels a run that will not be read further. It does not cancel a run that was
// not started (not_run), or one whose caller left a resumable stream: the caller may resume it at
// another node, and the engine drops it after its hold time.
func (r *engineRun) cancelInBackground(ctx context.Context) {
	var sink *sinkError
	callerGone := errors.As(r.observed.Err, &sink) || errors.Is(r.observed.Err, context.Canceled)
	if callerGone && r.p.req.Resumable {
		return
	}
	if result.From(r.observed.Err).RunState == result.NotRun {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		_ = r.d.Engines.Cancel(ctx, r.baseURL, r.id) // best effort: the engine drops the run after its hold time anyway
	}()
}
