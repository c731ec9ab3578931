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

// step is what becomes of one attempt: an error of the placement, of the start,
// or a wait until the deadline in one of them.
type step struct {
	place, start       error
	placeWaits, silent bool
}

// fake places and starts by steps, and allows every retry.
type fake struct {
	steps  []step
	now    step
	earned int
}

func (f *fake) Place(ctx context.Context, _ *Request, _ []string) (Grant, error) {
	f.now, f.steps = f.steps[0], f.steps[1:]
	if f.now.placeWaits {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f, f.now.place
}

func (f *fake) Start(ctx context.Context, _ string, _ *enginewire.RunRequest) (*engine.Stream, error) {
	if f.now.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, f.now.start
}

func (f *fake) Resume(context.Context, string, string, int) (*engine.Stream, error) {
	return nil, errors.New("nothing to resume")
}

func (f *fake) Cancel(context.Context, string, string) error { return nil }
func (f *fake) Endpoint() *pb.Endpoint                       { return &pb.Endpoint{Name: "engine-1"} }
func (f *fake) Imported() (int, int64)                       { return 0, 0 }
func (f *fake) FirstToken(Observed)                          {}
func (f *fake) Patience() time.Duration                      { return time.Minute }
func (f *fake) Done(Observed)                                {}
func (f *fake) Succeeded()                                   { f.earned++ }
func (f *fake) Retry() bool                                  { return true }

// TestNotRunIsTrue: an error says not_run only where no attempt can have begun.
func TestNotRunIsTrue(t *testing.T) {
	brokeOff := step{start: result.New(result.EndpointBrokeOff)}
	refused := step{start: result.New(result.EndpointRefused)}
	nobody := step{place: result.New(result.NoEndpoint)}
	cases := map[string]struct {
		steps []step
		want  result.RunState
	}{
		"nobody to ask":                {[]step{nobody}, result.NotRun},
		"refused, then nobody":         {[]step{refused, nobody}, result.NotRun},
		"deadline in the queue":        {[]step{{placeWaits: true}}, result.NotRun},
		"broke off, then nobody":       {[]step{brokeOff, nobody}, result.MayHaveRun},
		"broke off, then refused":      {[]step{brokeOff, refused, refused, refused}, result.MayHaveRun},
		"broke off, deadline in queue": {[]step{brokeOff, {placeWaits: true}}, result.MayHaveRun},
		"silent engine":                {[]step{{silent: true}}, result.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				salter, err := kvcache.NewSalter([]byte("0123456789abcdef0123456789abcdef"))
				must.NoError(t, err)
				f := &fake{steps: c.steps}
				d := &Dispatcher{Key: []byte("key"), Salter: salter, Engines: f, Placer: f, Budget: f}
				_, err = d.Run(t.Context(), &Request{Account: "a", Prompt: "p", MaxTokens: 1, Deadline: time.Now().Add(time.Second)}, nil)
				must.Eq(t, c.want, result.From(err).RunState, must.Sprint(err))
				must.Zero(t, f.earned)
			})
		})
	}
}

// TestRunsOnPastTheDeadline: the deadline bounds the wait for an engine alone.
func TestRunsOnPastTheDeadline(t *testing.T) {
	const deadline, end = time.Second, 5 * time.Second
	cases := map[string]struct {
		now    step
		runsOn bool
		after  time.Duration
		want   result.RunState
	}{
		"ends":               {step{silent: true}, false, deadline, result.MayHaveRun},
		"runs on":            {step{silent: true}, true, end, result.MayHaveRun},
		"still in the queue": {step{placeWaits: true}, true, deadline, result.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				salter, err := kvcache.NewSalter([]byte("0123456789abcdef0123456789abcdef"))
				must.NoError(t, err)
				f := &fake{steps: []step{c.now}}
				d := &Dispatcher{Key: []byte("key"), Salter: salter, Engines: f, Placer: f, Budget: f}
				ctx, cancel := context.WithCancelCause(t.Context())
				time.AfterFunc(end, func() { cancel(context.DeadlineExceeded) })
				begun := time.Now()
				_, err = d.Run(ctx, &Request{Account: "a", Prompt: "p", MaxTokens: 1, Deadline: begun.Add(deadline), RunsOn: c.runsOn}, nil)
				must.Eq(t, c.after, time.Since(begun))
				must.Eq(t, result.DeadlinePassed, result.From(err).Code)
				must.Eq(t, c.want, result.From(err).RunState)
			})
		})
	}
}
