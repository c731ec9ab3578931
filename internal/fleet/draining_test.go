package fleet_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

// TestToldDrainingStays keeps an endpoint out that told in an answer that it drains, whatever its entry says then,
// also where that was missing for a while, and where it moves.
func TestToldDrainingStays(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(100, 1), at(0))
	m := only(t, f, "s")
	must.True(t, f.Drain(m, at(time.Second)))
	test.SliceEmpty(t, f.Members("s"))
	test.False(t, f.Drain(m, at(2*time.Second)), test.Sprint("told before"))
	f.Update(born(100, 1), at(3*time.Second))
	test.SliceEmpty(t, f.Members("s"), test.Sprint("its entry says ready"))
	f.Lapse("e", at(9*time.Second))
	f.Update(born(100, 1), at(4*time.Second))
	test.SliceEmpty(t, f.Members("s"), test.Sprint("its entry was missing"))
	moved := born(100, 1)
	moved.Addr = "127.0.0.1:2"
	f.Update(moved, at(5*time.Second))
	test.SliceEmpty(t, f.Members("s"), test.Sprint("at another address"))
	since, draining := m.Signals.Draining()
	test.True(t, draining)
	test.Eq(t, at(time.Second), since)
}

// TestNewStartIsNotCondemned uses a later start under the same id, and another endpoint at the same address, though
// the one before told that it drains, also where its answer comes after the later start's entry.
func TestNewStartIsNotCondemned(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(born(100, 1), at(0))
	first := only(t, f, "s")
	f.Drain(first, at(time.Second))
	f.Update(born(200, 1), at(2*time.Second))
	second := only(t, f, "s")
	f.Update(born(300, 1), at(3*time.Second))
	test.True(t, f.Drain(second, at(4*time.Second)), test.Sprint("told late"))
	test.Eq(t, 300, only(t, f, "s").Born)
	f.Drain(only(t, f, "s"), at(5*time.Second))
	other := born(400, 1)
	other.ID = "another"
	f.Update(other, at(6*time.Second))
	test.Eq(t, "another", only(t, f, "s").ID)
}
