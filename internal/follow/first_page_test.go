package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
)

// agedTopic returns pages of the given age.
type agedTopic struct{ age time.Duration }

func (t agedTopic) Newest(context.Context) (follow.Page, error) { return follow.Page{Age: t.age}, nil }

func (t agedTopic) Read(_ context.Context, from int64, wait time.Duration) (follow.Page, error) {
	time.Sleep(wait)
	return follow.Page{Next: from, Age: t.age}, nil
}

// TestFirstPageKeepsItsAge checks that the age of a first page that another node's copy provided is
// kept: taken for current, a revoked key would be accepted for longer than allowed.
func TestFirstPageKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const age = 3 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		s := &recordingSink{}
		f := &follow.Follower{Name: "t", Topic: agedTopic{age}, Sink: s, Wait: func() time.Duration { return wait }, Log: zerolog.Nop()}
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(5*wait + wait/2)
		cancel()
		must.NoError(t, <-done)
		for i, b := range s.batches() {
			test.Eq(t, started.Add(time.Duration(max(i-1, 0))*wait-age), b.ConfirmedAt, test.Sprint(i))
			test.LessEq(t, wait, b.Gap)
		}
	})
}
