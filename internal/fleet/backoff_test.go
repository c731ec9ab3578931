package fleet

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
)

// TestBackoff checks that the backoff that ends last applies, cut to MaxBackoff.
func TestBackoff(t *testing.T) {
	s := &Signals{}
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	_, backsOff := s.Backoff(start)
	test.False(t, backsOff)
	test.True(t, s.RecordBackoff(3*time.Second, at(0)))
	test.False(t, s.RecordBackoff(time.Second, at(0.1)), test.Sprint("already backing off"))
	b, backsOff := s.Backoff(at(2.9))
	test.True(t, backsOff)
	test.Eq(t, Backoff{Until: at(3), At: at(0.1)}, b)
	_, backsOff = s.Backoff(at(3))
	test.False(t, backsOff)
	test.True(t, s.RecordBackoff(24*time.Hour, at(4)))
	b, _ = s.Backoff(at(5))
	test.Eq(t, at(4).Add(MaxBackoff), b.Until)
}

// TestBackoffOfStartNotYetKnown checks that a backoff that a new start of an endpoint requests before the
// registry shows that start holds on, and that one of the start before ends with it.
func TestBackoffOfStartNotYetKnown(t *testing.T) {
	now := time.Now()
	for askedBefore, want := range map[time.Duration]bool{time.Second: false, -100 * time.Millisecond: true} {
		f := New(zerolog.Nop())
		f.Update(&Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1", StartedMs: now.Add(-time.Hour).UnixMilli()}, now)
		f.Member("e").Signals.RecordBackoff(time.Minute, now.Add(-askedBefore))
		f.Update(&Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:1", StartedMs: now.UnixMilli()}, now.Add(time.Second))
		_, backsOff := f.Member("e").Signals.Backoff(now.Add(2 * time.Second))
		test.Eq(t, want, backsOff, test.Sprint(askedBefore))
	}
}
