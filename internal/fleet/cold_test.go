package fleet_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

// coldEntry returns an entry of a start that stays cold for the given time.
func coldEntry(ms int64, left time.Duration) *fleet.Endpoint {
	e := entryStartedAt(ms, 1)
	e.ColdLeft = left
	return e
}

// TestColdCountsDown checks that the cold period runs from when it was first read, whatever later or
// outdated copies of the entry state.
func TestColdCountsDown(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(coldEntry(100, 3*time.Second), at(0))
	m := onlyMember(t, f, "s")
	test.True(t, m.Cold(at(0)))
	test.True(t, m.Cold(at(2900*time.Millisecond)))
	f.Update(coldEntry(100, 2*time.Second), at(2*time.Second))
	f.Update(coldEntry(100, 2*time.Second), at(2500*time.Millisecond))
	test.False(t, m.Cold(at(3*time.Second)), test.Sprint("a repeated value does not extend the period"))
	f.Update(coldEntry(100, 0), at(4*time.Second))
	test.False(t, m.Cold(at(4*time.Second)))
	f.Update(coldEntry(100, time.Second), at(5*time.Second))
	test.True(t, m.Cold(at(5900*time.Millisecond)), test.Sprint("cold again"))
	test.False(t, m.Cold(at(6*time.Second)))
}

// TestColdAfterEnd checks that an endpoint that had ended counts as cold from its first answer on:
// it has started again, though its entry does not show it yet.
func TestColdAfterEnd(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(coldEntry(100, 0), at(0))
	m := onlyMember(t, f, "s")
	m.RecordAnswer(at(0), 3*time.Second)
	test.False(t, m.Cold(at(0)), test.Sprint("it had not ended"))
	m.MarkEnded(at(0))
	test.True(t, m.Cold(at(5*time.Second)), test.Sprint("no information since it ended"))
	m.RecordAnswer(at(6*time.Second), 3*time.Second)
	test.True(t, m.Cold(at(8900*time.Millisecond)))
	m.RecordAnswer(at(7*time.Second), 3*time.Second)
	test.False(t, m.Cold(at(9*time.Second)), test.Sprint("further answers do not extend the period"))
}

// TestColdEndsWithoutAnAnswer checks that an endpoint seen as ended no longer counts as cold once its
// entry must have been rewritten. Otherwise a node whose connections were all refused during a network
// partition would treat most endpoints of a service with a cold limit as cold until they answered, and
// would never send them anything, because only other nodes were chosen as senders.
func TestColdEndsWithoutAnAnswer(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(coldEntry(100, 0), at(0))
	m := onlyMember(t, f, "s")
	m.MarkEnded(at(0))
	test.True(t, m.Cold(at(6400*time.Millisecond)))
	test.False(t, m.Cold(at(6500*time.Millisecond)))
	m.RecordAnswer(at(time.Minute), 3*time.Second)
	test.False(t, m.Cold(at(time.Minute)), test.Sprint("the entry would state a cold period"))
}

// TestColdMoves checks that the cold period is kept when a start moves to another address, and
// discarded when a new start replaces it.
func TestColdMoves(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(coldEntry(100, 3*time.Second), at(0))
	moved := coldEntry(100, time.Second)
	moved.Addr = "127.0.0.1:2"
	f.Update(moved, at(time.Second))
	test.True(t, onlyMember(t, f, "s").Cold(at(2900*time.Millisecond)))
	f.Update(coldEntry(200, 0), at(2*time.Second))
	test.False(t, onlyMember(t, f, "s").Cold(at(2*time.Second)), test.Sprint("its entry states no cold period"))
}

// TestMarkColdNeverShortens checks that a shorter cold period does not replace a longer one.
func TestMarkColdNeverShortens(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	f.Update(coldEntry(100, 0), at(0))
	m := onlyMember(t, f, "s")
	m.MarkCold(at(3 * time.Second))
	m.MarkCold(at(time.Second))
	test.Eq(t, at(3*time.Second), m.ColdUntil())
}
