package fleet

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestBackoffOfARequestSentBeforeTheStartWasKnown guards against a backoff of a start that is lost as the request was
// placed when only the start before was known.
func TestBackoffOfARequestSentBeforeTheStartWasKnown(t *testing.T) {
	now := time.Now()
	f := New(zerolog.Nop())
	e := Endpoint{ID: "e", Service: "s", Addr: "127.0.0.1:1", StartedMs: now.Add(-time.Minute).UnixMilli()}
	f.Update(&e, now)
	placed := f.Member("e")
	next := e
	next.StartedMs = now.UnixMilli()
	f.Update(&next, now.Add(10*time.Millisecond))
	must.True(t, f.Member("e") != placed)
	placed.Signals.RecordBackoff(time.Hour, now.Add(-time.Millisecond))
	_, backsOff := f.Member("e").Signals.Backoff(now.Add(time.Second))
	test.False(t, backsOff, test.Sprint("of the start before"))
	placed.Signals.RecordBackoff(1500*time.Millisecond, now.Add(20*time.Millisecond))
	_, backsOff = f.Member("e").Signals.Backoff(now.Add(time.Second))
	test.True(t, backsOff)
	_, backsOff = f.Member("e").Signals.Backoff(now.Add(1600 * time.Millisecond))
	test.False(t, backsOff)
}
