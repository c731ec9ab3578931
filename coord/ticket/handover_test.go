package ticket_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/ticket"
)

// TestHandover checks that used, running and unused tickets keep their state
// across a handover, and that repeated, misdirected and late handovers never
// allow a second run.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, next, s := newExecutor(t, self), newExecutor(t, peer), &service{}
		batch := issue(t, old, 4)
		answered, running, unused, late := batch[0], batch[1], batch[2], batch[3]
		old.Do(t.Context(), answered, "acme", fingerprint, s.submit)
		go old.Do(t.Context(), running, "acme", fingerprint, s.slow)
		synctest.Wait()

		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		h, err := old.Drain(short, peer)
		must.NoError(t, err)
		_, err = old.Issue("acme", 1)
		test.ErrorIs(t, err, ticket.ErrDraining)
		_, err = old.Do(t.Context(), unused, "acme", fingerprint, s.submit)
		test.Eq(t, ticket.ReasonMoved, ticket.ReasonOf(err))
		_, err = old.Drain(t.Context(), ticket.Incarnation{Node: "n3"})
		test.ErrorIs(t, err, ticket.ErrOtherSuccessor)

		encoded, err := json.Marshal(h)
		must.NoError(t, err)
		var received ticket.Handover
		must.NoError(t, json.Unmarshal(encoded, &received))
		must.NoError(t, next.Adopt(&received))
		test.SliceContainsAll(t, next.Serving(), []ticket.Incarnation{self, peer})
		test.SliceEmpty(t, old.Serving())

		state := func(tkt ticket.Ticket) ticket.RunState {
			_, err := next.Do(t.Context(), tkt, "acme", fingerprint, s.submit)
			return ticket.StateOf(err)
		}
		test.Eq(t, ticket.Ran, state(answered))
		test.Eq(t, ticket.MayHaveRun, state(running))
		test.Eq(t, ticket.Ran, state(unused))
		must.NoError(t, next.Adopt(&received)) // a repeated handover has no effect
		test.Eq(t, ticket.Ran, state(unused))
		restarted := newExecutor(t, ticket.Incarnation{Node: "n2", Number: 23})
		test.ErrorIs(t, restarted.Adopt(&received), ticket.ErrNotSuccessor)

		time.Sleep(2 * time.Hour)
		test.Eq(t, ticket.MayHaveRun, state(late))
		must.NoError(t, next.Adopt(&received)) // a late handover does not restore an expired incarnation
		test.Eq(t, ticket.MayHaveRun, state(late))
		test.Eq(t, 3, s.executions())
	})
}
