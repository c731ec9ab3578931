package fleet

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func newTestMember(t *testing.T) *Member {
	t.Helper()
	f := New(zerolog.Nop())
	f.Update(&Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1"}, time.Now())
	must.Len(t, 1, f.Members("s"))
	return f.Members("s")[0]
}

// TestRateLimit checks that reports are applied in the order in which the endpoint made them.
func TestRateLimit(t *testing.T) {
	m := newTestMember(t)
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	_, known := m.Signals.RateLimit()
	test.False(t, known)
	test.False(t, m.Signals.ClearLimit(at(0)), test.Sprint("no limit was reported"))
	test.True(t, m.Signals.SetLimit(2.8, at(10)))
	test.False(t, m.Signals.SetLimit(2.8, at(20)), test.Sprint("same limit again"))
	test.False(t, m.Signals.ClearLimit(at(15)), test.Sprint("answer to a request sent before the limit was reported"))
	test.True(t, m.Signals.SetLimit(1.5, at(40)))
	test.False(t, m.Signals.SetLimit(9, at(35)), test.Sprint("older"))
	limit, _ := m.Signals.RateLimit()
	test.Eq(t, RateLimit{PerSecond: 1.5, InForce: true, At: at(40), Direct: true}, limit)
	test.True(t, m.Signals.ClearLimit(at(50)))
	limit, known = m.Signals.RateLimit()
	test.True(t, known)
	test.False(t, limit.InForce)
	test.False(t, m.Signals.ClearLimit(at(70)), test.Sprint("the limit ended before"))
	test.True(t, m.Signals.RecordRelayedLimit(RateLimit{PerSecond: 3, InForce: true, At: at(75)}), test.Sprint("reported after the request was sent whose answer had no limit"))
	test.False(t, m.Signals.RecordRelayedLimit(RateLimit{At: at(74)}), test.Sprint("the end is older"))
}

// TestRateLimitIsNotInheritedByLaterStart checks that a limit applies to one start of the endpoint,
// whatever its address, and not to a later start under the same id.
func TestRateLimitIsNotInheritedByLaterStart(t *testing.T) {
	f := New(zerolog.Nop())
	now := time.Now()
	f.Update(&Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1", StartedMs: 1}, now)
	f.Members("s")[0].Signals.SetLimit(1, now)
	f.Update(&Endpoint{ID: "e", Service: "s", Addr: "10.0.0.2:1", StartedMs: 1}, now)
	limit, _ := f.Members("s")[0].Signals.RateLimit()
	test.True(t, limit.InForce, test.Sprint("same start at another address"))
	f.Remove("e")
	f.Update(&Endpoint{ID: "e", Service: "s", Addr: "10.0.0.2:1", StartedMs: 1}, now)
	limit, _ = f.Members("s")[0].Signals.RateLimit()
	test.True(t, limit.InForce, test.Sprint("same start, back after its entry was missing"))
	f.Update(&Endpoint{ID: "e", Service: "s", Addr: "10.0.0.2:1", StartedMs: 2}, now)
	_, known := f.Members("s")[0].Signals.RateLimit()
	test.False(t, known, test.Sprint("later start"))
}

// TestLimitReportedBeforeTheStartIsListedCounts guards against requests beyond the limit of a restarted endpoint that
// reported it while the registry still listed the start before.
func TestLimitReportedBeforeTheStartIsListedCounts(t *testing.T) {
	for _, c := range []struct {
		reported time.Duration // after the later start
		known    bool
	}{{time.Second, true}, {-time.Second, false}, {maxUnlisted + time.Second, false}} {
		f := New(zerolog.Nop())
		begun := time.UnixMilli(1_000_000)
		f.Update(&Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1", StartedMs: begun.Add(-time.Minute).UnixMilli()}, begun)
		f.Member("e").Signals.SetLimit(2, begun.Add(c.reported))
		f.Update(&Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1", StartedMs: begun.UnixMilli()}, begun.Add(maxUnlisted))
		limit, known := f.Member("e").Signals.RateLimit()
		test.Eq(t, c.known, known && limit.InForce, test.Sprint(c.reported))
	}
}
