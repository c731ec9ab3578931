package fleet_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

// TestBackAfterALapse counts what is still under way at an endpoint whose entry was missing for
// longer than its hold: it is the same start, and its memory is as full as before.
func TestBackAfterALapse(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(100, 1), at(0))
	only(t, f, "s").Load.Begin(10, 20)
	f.Lapse("e", at(2*time.Second))
	f.EndLapses(at(2 * time.Second))
	test.SliceEmpty(t, f.Members("s"))
	f.Update(born(100, 1), at(3*time.Second))
	m := only(t, f, "s")
	test.Eq(t, 1, m.Load.Running())
	test.Eq(t, 20, m.Load.Holding())
}
