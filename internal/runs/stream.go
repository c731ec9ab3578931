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

// finishLength is the finish reason of an answer that has all its tokens.
const finishLength = "length"

// errNotResumed means that the engine would not resume the run.
var errNotResumed = errors.New("run was not resumed")

// sinkError marks a failure of the caller's side, which no other engine mends.
type sinkError struct{ cause error }

func (e *sinkError) Error() string { return "write answer: " + e.cause.Error() }
func (e *sinkError) Unwrap() error { return e.cause }

// readOn resumes a run on the same engine where only the connection broke, and
// returns err where it can't.
func (r *engineRun) readOn(ctx context.Context, err error) error {
	for resumes := 0; err != nil && r.mayResume(ctx, err, resumes); resumes++ {
		next := r.resume(ctx)
		if next == errNotResumed {
			return err
		}
		err = next
	}
	return err
}

// resume reads the run on from the token after the last one delivered.
func (r *engineRun) resume(ctx context.Context) error {
	w := newWatchdog(ctx, resumeTimeout)
	defer w.stop()
	stream, err := r.d.Engines.Resume(w.ctx, r.base, r.id, r.checker.Tokens())
	if err != nil {
		return errNotResumed
	}
	return w.explain(ctx, r.read(ctx, stream, w))
}

// read hands on the frames of one stream until the answer is complete.
func (r *engineRun) read(ctx context.Context, stream *engine.Stream, w *watchdog) error {
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
		w.feed()
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
		return r.started(f)
	case enginewire.FrameTokens:
		return r.tokens(f)
	case enginewire.FrameEnd:
		r.ended(f)
	}
	return nil
}

func (r *engineRun) started(f *enginewire.Frame) error {
	r.seen.Started = true
	r.seen.Incarnation = f.Incarnation
	r.seen.PromptTokens = f.PromptTokens
	r.seen.CachedTokens = f.CachedTokens
	s := Start{Run: r.id, Endpoint: r.name, Model: f.Model, Adapter: f.Adapter, PromptTokens: f.PromptTokens, CachedTokens: f.CachedTokens}
	if r.p.sum.Engines == 0 {
		r.p.sum.Start = s
	}
	r.p.sum.Engines++
	return wrapSink(r.p.sink.Started(s))
}

func (r *engineRun) tokens(f *enginewire.Frame) error {
	if r.seen.FirstToken == 0 {
		r.seen.FirstToken = time.Since(r.begun)
		r.notifyFirst()
	}
	if r.p.sum.FirstToken == 0 {
		r.p.sum.FirstToken = time.Since(r.p.begun)
	}
	r.p.text.WriteString(f.Text)
	r.p.tokens = r.first + r.checker.Tokens()
	r.seen.OutputTokens = r.checker.Tokens()
	return wrapSink(r.p.sink.Tokens(r.id, r.p.tokens, f.Text))
}

// notifyFirst tells the grant, which a resumed run has not.
func (r *engineRun) notifyFirst() {
	if r.grant != nil {
		r.grant.FirstToken(r.seen)
	}
}

func (r *engineRun) ended(f *enginewire.Frame) {
	r.complete()
	r.seen.Blocks = f.Blocks
	r.p.sum.Finish = f.Finish
}

// complete notes that the answer is whole.
func (r *engineRun) complete() {
	r.seen.Complete = true
	r.p.sum.OutputTokens = r.p.tokens
	r.p.sum.Finish = finishLength
}

func wrapSink(err error) error {
	if err == nil {
		return nil
	}
	return result.Wrap(&sinkError{cause: err}, result.CallerGone)
}

// mayResume tells whether the engine may still hold a run whose stream broke.
func (r *engineRun) mayResume(ctx context.Context, err error, resumes int) bool {
	if ctx.Err() != nil || resumes == maxResumes || !r.seen.Started {
		return false
	}
	code := result.From(err).Code
	return code == result.EndpointBrokeOff || code == result.AnswerTruncated || code == result.AnswerMalformed
}

// abandon cancels a run that nobody will read further, in the background. A run
// whose caller broke off a stream is left: the caller may resume it at another
// node, and the engine drops it after its own hold time.
func (r *engineRun) abandon(ctx context.Context) {
	var sink *sinkError
	callerGone := errors.As(r.seen.Err, &sink) || errors.Is(r.seen.Err, context.Canceled)
	if callerGone && r.p.req.Resumable {
		return
	}
	if result.From(r.seen.Err).RunState == result.NotRun {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		_ = r.d.Engines.Cancel(ctx, r.base, r.id) // best effort: the engine drops it in the end
	}()
}
