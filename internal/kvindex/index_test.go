package kvindex

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

// TestNoRequestsWhileRelayed checks that the follower of a store requests nothing while relayed
// updates of the store are recent.
func TestNoRequestsWhileRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &countingSource{}
		x := NewIndex(source, func(*Holder) (time.Duration, time.Duration) { return time.Second, time.Second }, zerolog.Nop())
		stores := largeSystemStores()
		x.Replace(nil, stores)
		test.False(t, x.AllRelayed(time.Now()))
		until := time.Now().Add(relayLifetime)
		for _, h := range x.Stores() {
			h.relayedUntil.Store(&until)
		}
		test.True(t, x.AllRelayed(time.Now()))
		x.Follow(t.Context(), nil, largeSystemStores())
		time.Sleep(relayLifetime - time.Millisecond)
		test.Eq(t, 0, source.count())
	})
}

// TestFailedStoreBackoff checks that a node that receives relayed events backs off
// exponentially from stores that fail, and that a node that relays them retries twice a second.
func TestFailedStoreBackoff(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			source := &refusingSource{}
			x := NewIndex(source, func(*Holder) (time.Duration, time.Duration) { return 0, 0 }, zerolog.Nop())
			x.ReceivesRelays = func() bool { return relayed }
			ctx, cancel := context.WithCancel(t.Context())
			x.Follow(ctx, nil, []*Holder{newStore()})
			time.Sleep(20*time.Second - minEventsBackoff/2)
			cancel()
			x.Wait()
			if relayed {
				test.Eq(t, 6, source.requests.Load(), test.Sprint("at 0, 0.5, 1.5, 3.5, 7.5 and 15.5 s"))
				return
			}
			test.Eq(t, 40, source.requests.Load())
		})
	}
}

// refusingSource is a source whose holders refuse connections.
type refusingSource struct{ requests atomic.Int64 }

func (r *refusingSource) Events(context.Context, string, int64, time.Duration) (Events, error) {
	r.requests.Add(1)
	return Events{}, errors.New("connection refused")
}

func (*refusingSource) Free(context.Context, string, FreeOrder) error { return nil }
