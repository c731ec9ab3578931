package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestBackingOffGetsNothing sends an endpoint that asked for a backoff nothing until that is over, also where all others are
// avoided, and refuses at once where all back off, with when the first one takes requests again: one caller after the
// other.
func TestBackingOffGetsNothing(t *testing.T) {
	w := newWorld(t, source{}, 1, 1, 1)
	now := time.Now()
	w.Now = func() time.Time { return now }
	w.members[0].Signals.BackOff(time.Second, now)
	w.members[1].Signals.BackOff(3*time.Second, now)
	w.members[2].Health.Failed(now, true)
	at := w.count(20, plainQuery())
	test.Eq(t, 20, at["e2"], test.Sprint("avoided, and all that is left"))
	test.Zero(t, w.count(20, query())["e0"]+w.count(20, query())["e1"])

	w.members[2].Signals.BackOff(2*time.Second, now)
	p, ok := w.Place(plainQuery())
	must.False(t, ok)
	test.Eq(t, "backing_off", p.Reason)
	test.Zero(t, p.Pause(time.Second), test.Sprint("it is not kept waiting"))
	first := p.Refuse()
	test.Eq(t, time.Second, first)
	test.Greater(t, first, p.Refuse())
	now = now.Add(950 * time.Millisecond)
	p, _ = w.Place(plainQuery())
	test.Positive(t, p.Pause(time.Second), test.Sprint("it is over soon"))
	now = now.Add(50 * time.Millisecond)
	p, ok = w.Place(plainQuery())
	must.True(t, ok)
	test.Eq(t, "e0", p.Member.ID)
}
