package runs

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/result"
)

// attemptScript is the outcome of one attempt: an error of the placement or the start, or a wait
// until the deadline in one of them.
type attemptScript struct {
	place, start       error
	placeWaits, silent bool
}

// scriptedEngine is a placer, engine and budget that returns the scripted outcomes in order and
// allows every retry.
type scriptedEngine struct {
	attempts  []attemptScript
	current   attemptScript
	succeeded int
}

func (e *scriptedEngine) Place(ctx context.Context, _ *Request, _ []string) (Grant, error) {
	e.current, e.attempts = e.attempts[0], e.attempts[1:]
	if e.current.placeWaits {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return e, e.current.place
}

func (e *scriptedEngine) Start(ctx context.Context, _ string, _ *enginewire.RunRequest) (*engine.Stream, error) {
	if e.current.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, e.current.start
}

func (e *scriptedEngine) Resume(context.Context, string, string, int) (*engine.Stream, error) {
	return nil, errors.New("no run to resume")
}

func (e *scriptedEngine) Cancel(context.Context, string, string) error { return nil }
func (e *scriptedEngine) Endpoint() *pb.Endpoint                       { return &pb.Endpoint{Name: "engine-1"} }
func (e *scriptedEngine) ImportedContext() (int, int64)                { return 0, 0 }
func (e *scriptedEngine) FirstToken(RunReport)                         {}
func (e *scriptedEngine) FirstFrameTimeout() time.Duration             { return time.Minute }
func (e *scriptedEngine) Done(RunReport)                               {}
func (e *scriptedEngine) Succeeded()                                   { e.succeeded++ }
func (e *scriptedEngine) Retry() bool                                  { return true }

// TestNotRunOnlyIfNoAttemptBegan checks that an error states not_run only if no attempt can have
// begun.
func TestNotRunOnlyIfNoAttemptBegan(t *testing.T) {
	brokeOff := attemptScript{start: result.New(result.EndpointFailed)}
	refused := attemptScript{start: result.New(result.EndpointRejected)}
	noEndpoint := attemptScript{place: result.New(result.NoEndpoint)}
	cases := map[string]struct {
		attempts []attemptScript
		want     result.RunState
	}{
		"no endpoint":                  {[]attemptScript{noEndpoint}, result.NotRun},
		"refused, then no endpoint":    {[]attemptScript{refused, noEndpoint}, result.NotRun},
		"deadline in the queue":        {[]attemptScript{{placeWaits: true}}, result.NotRun},
		"broke off, then no endpoint":  {[]attemptScript{brokeOff, noEndpoint}, result.MayHaveRun},
		"broke off, then refused":      {[]attemptScript{brokeOff, refused, refused, refused}, result.MayHaveRun},
		"broke off, deadline in queue": {[]attemptScript{brokeOff, {placeWaits: true}}, result.MayHaveRun},
		"silent engine":                {[]attemptScript{{silent: true}}, result.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				salter, err := kvcache.NewSalter([]byte("0123456789abcdef0123456789abcdef"))
				must.NoError(t, err)
				e := &scriptedEngine{attempts: c.attempts}
				d := &Dispatcher{Key: []byte("key"), Salter: salter, Engines: e, Placer: e, Budget: e}
				_, err = d.Run(t.Context(), &Request{Account: "a", Prompt: "p", MaxTokens: 1, Deadline: time.Now().Add(time.Second)}, nil)
				must.Eq(t, c.want, result.From(err).RunState, must.Sprint(err))
				must.Zero(t, e.succeeded)
			})
		})
	}
}

// TestRunContinuesPastDeadline checks that with RunsOn the deadline limits only the wait for an
// engine.
func TestRunContinuesPastDeadline(t *testing.T) {
	const deadline, end = time.Second, 5 * time.Second
	cases := map[string]struct {
		attempt attemptScript
		runsOn  bool
		after   time.Duration
		want    result.RunState
	}{
		"ends":                        {attemptScript{silent: true}, false, deadline, result.MayHaveRun},
		"continues past the deadline": {attemptScript{silent: true}, true, end, result.MayHaveRun},
		"still in the queue":          {attemptScript{placeWaits: true}, true, deadline, result.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				salter, err := kvcache.NewSalter([]byte("0123456789abcdef0123456789abcdef"))
				must.NoError(t, err)
				e := &scriptedEngine{attempts: []attemptScript{c.attempt}}
				d := &Dispatcher{Key: []byte("key"), Salter: salter, Engines: e, Placer: e, Budget: e}
				ctx, cancel := context.WithCancelCause(t.Context())
				time.AfterFunc(end, func() { cancel(context.DeadlineExceeded) })
				start := time.Now()
				_, err = d.Run(ctx, &Request{Account: "a", Prompt: "p", MaxTokens: 1, Deadline: start.Add(deadline), RunsOn: c.runsOn}, nil)
				must.Eq(t, c.after, time.Since(start))
				must.Eq(t, result.DeadlinePassed, result.From(err).Code)
				must.Eq(t, c.want, result.From(err).RunState)
			})
		})
	}
}
