package fleet_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

// TestLoadSurvivesLapse checks that requests in flight are still counted at an endpoint whose entry was
// missing for longer than the lapse period: it is the same start and holds the same memory.
func TestLoadSurvivesLapse(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(entryStartedAt(100, 1), at(0))
	onlyMember(t, f, "s").Load.Begin(10, 20)
	f.Lapse("e", at(2*time.Second))
	f.EndLapses(at(2 * time.Second))
	test.SliceEmpty(t, f.Members("s"))
	f.Update(entryStartedAt(100, 1), at(3*time.Second))
	m := onlyMember(t, f, "s")
	test.Eq(t, 1, m.Load.Running())
	test.Eq(t, 20, m.Load.HeldTokens())
}
