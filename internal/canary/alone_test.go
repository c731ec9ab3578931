package canary

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
)

// outsider returns a node that judges no order.
func (s *system) outsider() *simulated {
	judges := s.nodes[0].judges(service, s.nodes[0].peers())
	for _, n := range s.nodes {
		if n.addr.String() != judges[0] && n.addr.String() != judges[1] && n.addr.String() != judges[2] {
			return n
		}
	}
	panic("all nodes are judges")
}

// TestCutOffNodeLeavesReleaseThatTurnsBad guards against a node that hears of no rollback and sends all its
// requests to a release that failed after it was promoted.
func TestCutOffNodeLeavesReleaseThatTurnsBad(t *testing.T) {
	const cutAt, badAt = 14 * time.Second, 15 * time.Second
	for _, nodes := range []int{7, 86} {
		s := newSystem(uint64(nodes), nodes)
		cut := s.outsider()
		turnsBad := func(elapsed time.Duration) behavior {
			if elapsed < badAt {
				return usual
			}
			return behavior{0.6, usual.took}
		}
		sends := func() (bad, all int) {
			for _, row := range cut.config.Gate.orders()[0].rows {
				bad, all = bad+row.New.Bad, all+row.New.Answers
			}
			return bad, all
		}
		var fiftiethBadAt time.Time
		sendsInTime := 0
		phases := s.play(t, 30*float64(nodes), turnsBad, func(elapsed time.Duration) {
			cut.cutOff = elapsed >= cutAt
			bad, all := sends()
			if bad >= 50 && fiftiethBadAt.IsZero() {
				fiftiethBadAt = s.now
			}
			if fiftiethBadAt.IsZero() || s.now.Sub(fiftiethBadAt) <= rollbackBound {
				sendsInTime = all
			}
		})
		must.Eq(t, []Phase{Promoting, RolledBack}, phases)
		_, all := sends()
		test.Eq(t, 0, all-sendsInTime, test.Sprint("late sends, ", nodes, " nodes"))
		cut.cutOff = false
		s.stepAll(t, 2*followDelay)
		test.Eq(t, RolledBack, cut.config.Gate.orders()[0].phase)
	}
}

// TestNodeThatHearsOthersAgainReturnsToRelease guards against a node that was cut off and keeps a release from its
// callers that the others found to be sound.
func TestNodeThatHearsOthersAgainReturnsToRelease(t *testing.T) {
	s := newSystem(1, 24)
	cut := s.outsider()
	mayUse := func() int {
		first, then := cut.config.Gate.Split(service, "a", slices.Concat(s.old, s.new), s.now)
		return len(slices.DeleteFunc(append(first, then...), func(m *fleet.Member) bool { return m.Endpoint().Release != "v2" }))
	}
	phases := s.play(t, 720, always(usual), func(elapsed time.Duration) {
		cut.cutOff = elapsed >= 14*time.Second && elapsed < 16*time.Second
		if elapsed == 14*time.Second {
			for range 35 {
				cut.config.Gate.RecordAnswer(service, "a", s.new[0], true, usual.took)
			}
		}
		if elapsed == 15*time.Second {
			test.Eq(t, 0, mayUse(), test.Sprint("while it is cut off"))
		}
	})
	must.Eq(t, []Phase{Promoting, Succeeded}, phases)
	test.Eq(t, len(s.new), mayUse())
}
