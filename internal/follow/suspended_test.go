package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/clock/clocktest"
	"github.com/cherryward/cherryward/internal/follow"
)

// suspendingTopic suspends the host while the first read is pending.
type suspendingTopic struct {
	host *clocktest.Host
	once sync.Once
	d    time.Duration
}

func (s *suspendingTopic) Newest(context.Context) (follow.Page, error) {
	return follow.Page{Next: 1}, nil
}

func (s *suspendingTopic) Read(_ context.Context, from int64, _ time.Duration) (follow.Page, error) {
	time.Sleep(time.Second)
	s.once.Do(func() { s.host.Suspend(s.d) })
	return follow.Page{Next: from}, nil
}

// ageSink is a sink that records the age of each batch's ConfirmedAt on arrival.
type ageSink struct {
	host *clocktest.Host
	list []time.Duration
}

func (a *ageSink) Apply(b follow.Batch) { a.list = append(a.list, a.host.Since(b.ConfirmedAt)) }

// TestReadDuringSuspension checks that a response that was buffered while the host was suspended
// counts as current when the read was sent, before the suspension.
func TestReadDuringSuspension(t *testing.T) {
	for _, d := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			host := clocktest.New()
			got := &ageSink{host: host}
			f := &follow.Follower{Topic: &suspendingTopic{host: host, d: d}, Sink: got, Clock: host.Clock, Log: zerolog.Nop()}
			ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
			defer cancel()
			_ = f.Run(ctx) // it returns nil
			test.Eq(t, []time.Duration{0, time.Second + d, time.Second}, got.list[:3])
		})
	}
}
