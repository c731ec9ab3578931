package kept

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
)

// TestToldStoresAreNotAsked has the follower of a store that another node told of as a whole leave
// the store alone.
func TestToldStoresAreNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &counted{}
		x := NewIndex(source, func(*Holder) (time.Duration, time.Duration) { return time.Second, time.Second }, zerolog.Nop())
		stores := siteStores()
		x.Replace(nil, stores)
		test.False(t, x.Told(time.Now()))
		until := time.Now().Add(relayedFor)
		for _, h := range x.Stores() {
			h.relayed.Store(&until)
		}
		test.True(t, x.Told(time.Now()))
		x.Follow(t.Context(), nil, siteStores())
		time.Sleep(relayedFor - time.Millisecond)
		test.Eq(t, 0, source.questions())
	})
}

// TestStoresThatFailAreAskedSeldom has a node that others tell of stores ask those that don't answer
// ever more seldom, and one that asks for others twice a second.
func TestStoresThatFailAreAskedSeldom(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			source := &refusing{}
			x := NewIndex(source, func(*Holder) (time.Duration, time.Duration) { return 0, 0 }, zerolog.Nop())
			x.Relayed = func() bool { return relayed }
			ctx, cancel := context.WithCancel(t.Context())
			x.Follow(ctx, nil, []*Holder{newStore()})
			time.Sleep(20*time.Second - eventsRetry/2)
			cancel()
			x.Wait()
			if relayed {
				test.Eq(t, 6, source.asked.Load(), test.Sprint("at 0, 0.5, 1.5, 3.5, 7.5 and 15.5 s"))
				return
			}
			test.Eq(t, 40, source.asked.Load())
		})
	}
}

// refusing is a source whose holders are not up yet.
type refusing struct{ asked atomic.Int64 }

func (r *refusing) Events(context.Context, string, int64, time.Duration) (Events, error) {
	r.asked.Add(1)
	return Events{}, errors.New("connection refused")
}

func (*refusing) Free(context.Context, string, []Part, int64) error { return nil }
