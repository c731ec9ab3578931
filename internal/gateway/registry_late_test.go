package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/follow"
)

// lateTopic is a topic whose reads all succeed at once. The first Read returns the removal of an
// entry.
type lateTopic struct{ reads int }

func (l *lateTopic) Newest(context.Context) (follow.Page, error) {
	value := []byte(entryOf("engines", "ready", models))
	return follow.Page{Records: []follow.Record{{Key: "e1", Value: value}, {Key: "e2", Value: value, Offset: 1}}, Next: 2}, nil
}

func (l *lateTopic) Read(_ context.Context, from int64, _ time.Duration) (follow.Page, error) {
	if l.reads++; l.reads > 1 {
		return follow.Page{Next: from}, nil
	}
	return follow.Page{Records: []follow.Record{{Key: "e1", Offset: from}}, Next: from + 1}, nil
}

// TestLateReadIsNotAnOutage checks that an endpoint is removed within the drain bound if a node
// reads late although the store was available: no entry can have expired, and no outage extends the
// bound.
func TestLateReadIsNotAnOutage(t *testing.T) {
	for _, bounds := range []bootstrap.Bounds{
		{DrainLimit: 2 * time.Second, StableWindow: 3 * time.Second},
		{DrainLimit: 3 * time.Second, StableWindow: 4 * time.Second},
	} {
		t.Run(bounds.DrainLimit.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegistryFixture()
				r.bounds = func() bootstrap.Bounds { return bounds }
				r.configure(t, 1, engines)
				ctx, cancel := context.WithCancel(t.Context())
				f := follow.Follower{
					Name: "registry", Topic: &lateTopic{}, Sink: r, Log: zerolog.Nop(),
					Pause: func() time.Duration { return minExpiryOutage + 10*time.Millisecond },
				}
				var wg sync.WaitGroup
				wg.Go(func() { _ = f.Run(ctx) })
				time.Sleep(time.Millisecond)
				test.Eq(t, "e1 e2 ", r.ids("engines"))
				time.Sleep(bounds.DrainLimit)
				test.Eq(t, "e2 ", r.ids("engines"))
				cancel()
				wg.Wait()
			})
		})
	}
}
