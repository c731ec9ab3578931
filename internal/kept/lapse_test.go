package kept

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
)

// TestToldStoresTakeFewLooks has one look find which of 41 stores other nodes still tell of, about
// once for each time that their word stands, and has a store asked at once when it lapses.
func TestToldStoresTakeFewLooks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &counted{}
		x := NewIndex(source, func(*Holder) (time.Duration, time.Duration) { return time.Second, time.Second }, zerolog.Nop())
		stores := siteStores()
		tell := func(list []*Holder) {
			until := time.Now().Add(relayedFor)
			for _, h := range list {
				h.relayed.Store(&until)
			}
		}
		tell(stores)
		ctx, cancel := context.WithCancel(t.Context())
		x.Follow(ctx, nil, stores)
		for range 100 {
			time.Sleep(300 * time.Millisecond)
			tell(stores)
		}
		test.Eq(t, 0, source.questions())
		time.Sleep(300 * time.Millisecond)
		tell(stores[1:])
		time.Sleep(relayedFor - 300*time.Millisecond + lapseLeast)
		test.Eq(t, 1, source.questions(), test.Sprint("of the store of which nothing was told"))
		cancel()
		x.Wait()
	})
}

// TestLapseIsSeenInTime looks again when the next store may lapse.
func TestLapseIsSeenInTime(t *testing.T) {
	l := newLapses()
	now := time.Now()
	test.Eq(t, lapsePause, l.wake(now))
	early, late := now.Add(200*time.Millisecond), now.Add(700*time.Millisecond)
	for i, until := range []time.Time{early, late} {
		h := siteStores()[i]
		h.relayed.Store(&until)
		l.waiting[h] = make(chan struct{})
	}
	test.Eq(t, 200*time.Millisecond, l.wake(now))
	test.Eq(t, 500*time.Millisecond, l.wake(early))
	test.MapLen(t, 1, l.waiting)
	test.Eq(t, lapseLeast, l.wake(late.Add(-time.Millisecond)))
}
