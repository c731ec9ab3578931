package changelog_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/coord/changelog/logtest"
)

// smallRecord is a record size limit at which checkpoints have several parts.
const smallRecord = 768

// model performs random operations on several stores with one log.
type model struct {
	log          *logtest.Log
	stores       []*changelog.Store[limit]
	check        *changelog.Checker[limit]
	changes      []changelog.Change
	outcomes     map[string]changelog.Outcome
	completeMark int64 // mark of the newest checkpoint known to be complete
}

func newModel() *model {
	m := &model{log: &logtest.Log{}, check: changelog.NewChecker[limit](), outcomes: make(map[string]changelog.Outcome)}
	for range 3 {
		s := changelog.NewStore(m.log, limits{}, smallRecord)
		s.StartEmpty()
		m.stores = append(m.stores, s)
	}
	return m
}

func (m *model) pickStore(t *rapid.T) (string, *changelog.Store[limit]) {
	i := rapid.IntRange(0, len(m.stores)-1).Draw(t, "store")
	return string(rune('a' + i)), m.stores[i]
}

// propose proposes a change, sometimes one based on an older revision or one
// proposed before. The append may fail, its response may be lost, and the read-back
// may lag behind.
func (m *model) propose(t *rapid.T) {
	_, s := m.pickStore(t)
	ch := m.drawChange(t, s)
	m.check.RecordProposal(ch)
	m.log.LoseResponses(rapid.IntRange(0, 1).Draw(t, "lost answers"))
	m.log.SetDown(rapid.IntRange(0, 5).Draw(t, "down") == 0)
	m.log.SetLag(rapid.Int64Range(0, 2).Draw(t, "lag"))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o, err := s.Propose(ctx, ch)
	m.log.LoseResponses(0)
	m.log.SetDown(false)
	m.log.SetLag(0)
	if o.Status == "" {
		must.ErrorIs(t, err, changelog.ErrUnknownOutcome)
		return
	}
	if first, ok := m.outcomes[ch.ID]; ok {
		must.Eq(t, first, o)
	}
	m.outcomes[ch.ID] = o
	must.NoError(t, m.check.CheckOutcome(ch, o))
}

// drawChange returns a new change or one proposed before.
func (m *model) drawChange(t *rapid.T, s *changelog.Store[limit]) changelog.Change {
	if len(m.changes) > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
		return rapid.SampledFrom(m.changes).Draw(t, "change")
	}
	_, source := m.pickStore(t) // its snapshot may be outdated
	key := rapid.SampledFrom([]string{"a", "b", "c<&>"}).Draw(t, "key")
	ch := source.Snapshot().Put("limit", key, value(rapid.IntRange(-1, 9).Draw(t, "value")))
	if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
		ch = source.Snapshot().Delete("limit", key)
	}
	ch.ID = fmt.Sprintf("change-%d", len(m.changes))
	m.changes = append(m.changes, ch)
	return ch
}

// poll reads the log, possibly from a lagging replica.
func (m *model) poll(t *rapid.T) {
	name, s := m.pickStore(t)
	lag := rapid.Int64Range(0, 3).Draw(t, "lag")
	m.log.SetLag(lag)
	defer m.log.SetLag(0)
	m.catchUp(t, name, s, lag > 0)
}

// catchUp polls, and loads a checkpoint if the next records are no longer retained.
// With a lagging replica, the checkpoint may not be found.
func (m *model) catchUp(t *rapid.T, name string, s *changelog.Store[limit], lags bool) {
	if err := s.Poll(t.Context()); err != nil {
		must.ErrorIs(t, err, changelog.ErrCompacted)
		err = s.LoadFromLog(t.Context())
		if !lags || !errors.Is(err, changelog.ErrNoCheckpoint) {
			must.NoError(t, err)
		}
	}
	must.NoError(t, m.check.CheckState(name, s.Snapshot()))
}

// restart replaces a store by a new one that loads its state from the log or a peer.
func (m *model) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.stores)-1).Draw(t, "store")
	s := changelog.NewStore(m.log, limits{}, smallRecord)
	if rapid.Bool().Draw(t, "from peer") {
		_, peer := m.pickStore(t)
		image, err := peer.Image()
		must.NoError(t, err)
		must.NoError(t, s.Restore(image))
	} else {
		must.NoError(t, s.LoadFromLog(t.Context()))
	}
	m.stores[i] = s
	name := string(rune('a' + i))
	m.check.RecordRestart(name)
	must.NoError(t, m.check.CheckState(name, s.Snapshot()))
}

// checkpoint writes the mark or some of the missing parts of a checkpoint.
func (m *model) checkpoint(t *rapid.T) {
	_, s := m.pickStore(t)
	parts := rapid.IntRange(0, 3).Draw(t, "parts")
	if err := s.WriteCheckpoint(t.Context(), parts); err != nil {
		must.ErrorIs(t, err, changelog.ErrCompacted)
	}
	m.completeMark = max(m.completeMark, s.CompleteMark())
}

// retain drops records up to the mark of the newest complete checkpoint.
func (m *model) retain(t *rapid.T) {
	records := m.log.Records()
	if m.completeMark == 0 || len(records) == 0 {
		return
	}
	m.log.Retain(records[len(records)-1].Offset - m.completeMark)
}

// For any interleaving of writes, faults, restarts, retention and checkpoints, all
// nodes must have the same state at the same offset, and no accepted change may be
// lost.
func TestNodesAgreeAtSameOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			m := newModel()
			t.Repeat(map[string]func(*rapid.T){
				"propose":    m.propose,
				"again":      m.propose,
				"poll":       m.poll,
				"restart":    m.restart,
				"checkpoint": m.checkpoint,
				"retain":     m.retain,
			})
			var end int64
			for i, s := range m.stores {
				name := string(rune('a' + i))
				m.catchUp(t, name, s, false)
				m.catchUp(t, name, s, false)
				end = max(end, s.Snapshot().Applied())
			}
			for _, s := range m.stores {
				must.Eq(t, end, s.Snapshot().Applied())
			}
		})
	})
}

// noDeadlineTB hides the deadline of the test from rapid, since it does not apply to
// the virtual time of a synctest bubble.
type noDeadlineTB struct{ rapid.TB }

// TestMain sets rapid's seed to 1 unless another one is given, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
