package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/routing"
)

// TestHoldThatBeginsAsTheDoubtEnds drops an endpoint that is found missing while the doubt ends:
// its timer may run between the look at the clock and the hold, and nothing may be read again.
func TestHoldThatBeginsAsTheDoubtEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistered()
		r.configure(t, 1, engines)
		for _, id := range []string{"e1", "e2"} {
			r.put(id, entryOf("engines", "ready", models))
		}
		returned := time.Now()
		r.Apply(follow.Batch{Gap: lapseOutage + 1, Failed: true})
		hold := lapseHold(registryBounds())
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
		time.Sleep(time.Until(returned.Add(registryBounds().Drain)))
		test.Eq(t, "e1 ", r.ids("engines"))
	})
}
