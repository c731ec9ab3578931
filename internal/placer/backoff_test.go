package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestBackingOffEndpointGetsNoRequests checks that an endpoint that requested a backoff gets no
// request until the backoff ends, even where all other endpoints are avoided. Where all endpoints
// back off, requests are refused at once, with retry times spread from the end of the first
// backoff.
func TestBackingOffEndpointGetsNoRequests(t *testing.T) {
	fx := newFixture(t, fakeEvents{}, 1, 1, 1)
	now := time.Now()
	fx.Now = func() time.Time { return now }
	fx.members[0].Signals.RecordBackoff(time.Second, now)
	fx.members[1].Signals.RecordBackoff(3*time.Second, now)
	fx.members[2].Health.RecordFailure(now, true)
	placed := fx.count(20, plainQuery())
	test.Eq(t, 20, placed["e2"], test.Sprint("e2 is avoided, but the only endpoint without a backoff"))
	test.Zero(t, fx.count(20, query())["e0"]+fx.count(20, query())["e1"])

	fx.members[2].Signals.RecordBackoff(2*time.Second, now)
	p, ok := fx.Place(plainQuery())
	must.False(t, ok)
	test.Eq(t, "backing_off", p.Reason)
	test.Zero(t, p.RetryDelay(time.Second), test.Sprint("the request is refused without waiting"))
	first := p.OnRefusal()
	test.Eq(t, time.Second, first)
	test.Greater(t, first, p.OnRefusal())
	now = now.Add(950 * time.Millisecond)
	p, _ = fx.Place(plainQuery())
	test.Positive(t, p.RetryDelay(time.Second), test.Sprint("the request waits, as the backoff ends soon"))
	now = now.Add(50 * time.Millisecond)
	p, ok = fx.Place(plainQuery())
	must.True(t, ok)
	test.Eq(t, "e0", p.Member.ID)
}
