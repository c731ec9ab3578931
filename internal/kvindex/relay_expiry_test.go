package kvindex

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
)

// TestRelayExpiryOfManyStores checks that relayed updates keep 41 stores from being requested, and
// that a store whose updates stop is requested as soon as the last one expires.
func TestRelayExpiryOfManyStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &countingSource{}
		x := NewIndex(source, func(*Holder) (time.Duration, time.Duration) { return time.Second, time.Second }, zerolog.Nop())
		stores := largeSystemStores()
		relay := func(list []*Holder) {
			until := time.Now().Add(relayLifetime)
			for _, h := range list {
				h.relayedUntil.Store(&until)
			}
		}
		relay(stores)
		ctx, cancel := context.WithCancel(t.Context())
		x.Follow(ctx, nil, stores)
		for range 100 {
			time.Sleep(300 * time.Millisecond)
			relay(stores)
		}
		test.Eq(t, 0, source.count())
		time.Sleep(300 * time.Millisecond)
		relay(stores[1:])
		time.Sleep(relayLifetime - 300*time.Millisecond + minScanInterval)
		test.Eq(t, 1, source.count(), test.Sprint("from the store whose relayed updates stopped"))
		cancel()
		x.Wait()
	})
}

// TestNextRelayExpiryScan checks that the next scan is scheduled for when the next relayed update
// expires.
func TestNextRelayExpiryScan(t *testing.T) {
	l := newRelayExpiryWatcher()
	now := time.Now()
	test.Eq(t, maxScanInterval, l.wake(now))
	early, late := now.Add(200*time.Millisecond), now.Add(700*time.Millisecond)
	for i, until := range []time.Time{early, late} {
		h := largeSystemStores()[i]
		h.relayedUntil.Store(&until)
		l.waiting[h] = make(chan struct{})
	}
	test.Eq(t, 200*time.Millisecond, l.wake(now))
	test.Eq(t, 500*time.Millisecond, l.wake(early))
	test.MapLen(t, 1, l.waiting)
	test.Eq(t, minScanInterval, l.wake(late.Add(-time.Millisecond)))
}
