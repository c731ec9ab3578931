package fleet_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func endpoint(draining bool) *fleet.Endpoint {
	return &fleet.Endpoint{ID: "e", Service: "s", Addr: "127.0.0.1:1", Draining: draining, Weights: []fleet.Weights{{Model: "m", Version: 1}}}
}

func usable(f *fleet.Fleet) bool { return len(f.Members("s")) == 1 }

// TestDrainingStays checks that an old entry that arrives late does not bring a draining endpoint back.
func TestDrainingStays(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(endpoint(false), at(0))
	test.True(t, usable(f))
	f.Update(endpoint(true), at(time.Second))
	test.False(t, usable(f))
	f.Update(endpoint(false), at(2*time.Second))
	test.False(t, usable(f))
	f.Remove("e")
	f.Expire(at(4 * time.Second))
	f.Update(endpoint(false), at(5*time.Second))
	test.False(t, usable(f))
}

func TestRemovedAtOnce(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(endpoint(false), at(0))
	f.Remove("e")
	test.False(t, usable(f))
}

// TestLapse checks that an endpoint whose entry disappeared during a registry outage is used until the
// end of its lapse period.
func TestLapse(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(endpoint(false), at(0))
	f.Lapse("e", at(3*time.Second))
	f.Expire(at(2 * time.Second))
	test.True(t, usable(f))
	f.Update(endpoint(false), at(2500*time.Millisecond))
	f.Expire(at(10 * time.Second))
	test.True(t, usable(f), test.Sprint("back in the registry"))
	f.Lapse("e", at(13*time.Second))
	f.Expire(at(13 * time.Second))
	test.False(t, usable(f), test.Sprint("not back before the lapse period ended"))
}

func TestHealth(t *testing.T) {
	var h fleet.Health
	test.True(t, h.Usable(at(0)))
	h.RecordFailure(at(0), true)
	test.False(t, h.Usable(at(100*time.Millisecond)))
	test.True(t, h.Usable(at(400*time.Millisecond)))
	h.RecordFailure(at(400*time.Millisecond), true)
	test.False(t, h.Usable(at(900*time.Millisecond)), test.Sprint("twice as long"))
	for range 5 {
		h.RecordFailure(at(time.Second), false)
	}
	test.Greater(t, 0.35, h.FailureRate(at(time.Second)))
	test.False(t, h.Usable(at(3*time.Second)), test.Sprint("failure rate too high"))
	h.RecordSuccess(at(3 * time.Second))
	test.True(t, h.Usable(at(10*time.Second)))
	test.Less(t, 0.35/4, h.FailureRate(at(20*time.Second)), test.Sprint("the rate decays without outcomes"))
}

// TestEndedEndpointIsAvoided checks that an endpoint that ended during a request gets no further ones
// for 3 s.
func TestEndedEndpointIsAvoided(t *testing.T) {
	var h fleet.Health
	h.RecordEnd(at(0))
	test.False(t, h.Usable(at(2900*time.Millisecond)))
	test.True(t, h.Usable(at(3*time.Second)))
}
