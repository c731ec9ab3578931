package fleet

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestFailuresWithoutAPathAreForgotten checks that endpoints that seemed to have ended while this node was
// partitioned are neither avoided nor cold afterwards, unless they were cold before.
func TestFailuresWithoutAPathAreForgotten(t *testing.T) {
	now := time.Now()
	f := New(zerolog.Nop())
	f.Update(&Endpoint{ID: "warm", Service: "s", Addr: "10.0.0.1:1", StartedMs: 1}, now)
	f.Update(&Endpoint{ID: "cold", Service: "s", Addr: "10.0.0.2:1", StartedMs: 1, ColdLeft: 3 * time.Second}, now)
	f.Update(&Endpoint{ID: "new", Service: "s", Addr: "10.0.0.3:1", StartedMs: 1}, now)
	for range 3 {
		for _, m := range f.Members("s") {
			m.MarkEnded(now)
			m.Health.RecordFailure(now, true)
		}
	}
	f.Member("new").MarkCold(now.Add(time.Minute)) // its entry states it meanwhile
	f.Member("new").MarkEnded(now)                 // and another attempt fails
	f.ForgetFailures("s")
	for _, m := range f.Members("s") {
		test.True(t, m.Health.Usable(now), test.Sprint(m.ID))
		test.Eq(t, 0, m.Health.FailureRate(now), test.Sprint(m.ID))
	}
	must.False(t, f.Member("warm").Cold(now))
	must.True(t, f.Member("cold").Cold(now.Add(2*time.Second)))
	must.False(t, f.Member("cold").Cold(now.Add(4*time.Second)))
	must.True(t, f.Member("new").Cold(now.Add(30*time.Second)))
	f.Member("warm").RecordAnswer(now, time.Minute)
	test.False(t, f.Member("warm").Cold(now), test.Sprint("an answer is no new start"))
}
