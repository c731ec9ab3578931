package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/routing"
)

// TestHoldThatStartsAsTimerFires checks that an endpoint that is found missing just as the hold
// period ends is removed. The timer may fire between the reading of the clock and the hold, and no
// further read may follow.
func TestHoldThatStartsAsTimerFires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistryFixture()
		r.configure(t, 1, engines)
		for _, id := range []string{"e1", "e2"} {
			r.put(id, entryOf("engines", "ready", models))
		}
		returned := time.Now()
		r.Apply(follow.Batch{Gap: minExpiryOutage + 1, Failed: true})
		hold := expiryHold(registryBounds())
		time.Sleep(hold - time.Millisecond)
		config := r.config
		r.config = func() *routing.Config {
			time.Sleep(2 * time.Millisecond) // a busy host, or many records
			return config()
		}
		r.Apply(follow.Batch{Records: []follow.Record{
			{Key: "e1", Value: []byte(entryOf("engines", "ready", models))},
			{Key: "e2"},
		}})
		time.Sleep(time.Until(returned.Add(registryBounds().DrainLimit)))
		test.Eq(t, "e1 ", r.ids("engines"))
	})
}
