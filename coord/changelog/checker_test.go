package changelog_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/coord/changelog/logtest"
)

// rewritingLog alters the changes that a node reads from the log, to simulate a
// faulty reducer.
type rewritingLog struct {
	*logtest.Log
	alter func(*changelog.Change)
}

func (l rewritingLog) Read(ctx context.Context, from int64, limit int) (changelog.Batch, error) {
	b, err := l.Log.Read(ctx, from, limit)
	for i, r := range b.Records {
		var e struct {
			Version int               `json:"v"`
			Type    string            `json:"t"`
			Change  *changelog.Change `json:"change"`
		}
		json.Unmarshal(r.Data, &e)
		l.alter(e.Change)
		b.Records[i].Data, _ = json.Marshal(e)
	}
	return b, err
}

func newEmptyStore(log changelog.Log) *changelog.Store[limit] {
	s := changelog.NewStore(log, limits{}, 0)
	s.StartEmpty()
	return s
}

// The checker must detect a reducer that ignores the base revision of a change and
// therefore accepts two changes based on the same revision.
func TestCheckerFindsIgnoredRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logtest.Log{}
		var broken *changelog.Store[limit]
		broken = newEmptyStore(rewritingLog{log, func(c *changelog.Change) {
			o, _ := broken.Snapshot().Get(c.Kind, c.Key)
			c.BasedOn = o.Revision
		}})
		correct := newEmptyStore(log)
		for name, s := range map[string]*changelog.Store[limit]{"broken": broken, "right": correct} {
			check := changelog.NewChecker[limit]()
			base := s.Snapshot()
			var err error
			for i := range 2 {
				ch := base.Put("limit", name, value(i))
				o, _ := s.Propose(t.Context(), ch)
				err = check.CheckOutcome(ch, o)
			}
			must.Eq(t, name == "broken", err != nil, must.Sprint(name, err))
		}
	})
}

// The checker must detect a state that is overwritten by an older image, and one
// whose content does not match its offset. Restore must ignore an older image.
func TestCheckerFindsOldImage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEmptyStore(&logtest.Log{})
		check := changelog.NewChecker[limit]()
		put := func(n int) {
			ch := s.Snapshot().Put("limit", "acct", value(n))
			o, err := s.Propose(t.Context(), ch)
			must.NoError(t, err)
			must.NoError(t, check.CheckOutcome(ch, o))
			must.NoError(t, check.CheckState("a", s.Snapshot()))
		}
		put(1)
		old, err := s.Image()
		must.NoError(t, err)
		put(2)
		must.NoError(t, s.Restore(old))
		must.NoError(t, check.CheckState("a", s.Snapshot()))
		must.NoError(t, s.Overwrite(old))
		must.ErrorContains(t, check.CheckState("a", s.Snapshot()), "went back")
		must.NoError(t, check.CheckState("b", s.Snapshot())) // a lower offset on another node is allowed
		s.SetApplied(2)                                      // offset 2 with the state of offset 1
		must.ErrorContains(t, check.CheckState("c", s.Snapshot()), "another state")
		check = changelog.NewChecker[limit]()
		ch := s.Snapshot().Put("limit", "acct", value(3))
		must.NoError(t, check.CheckOutcome(ch, changelog.Outcome{Status: changelog.Accepted, Offset: 2, Revision: 2}))
		must.ErrorContains(t, check.CheckState("c", s.Snapshot()), "lost")
	})
}

// A late retry of a create, after its id was evicted from the deduplication window,
// must not recreate a deleted object. A node restored from an image must reject it
// too.
func TestLateRetryExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logtest.Log{}
		s := newEmptyStore(log)
		create := s.Snapshot().Put("limit", "acct", value(1))
		propose := func(ch changelog.Change) error { _, err := s.Propose(t.Context(), ch); return err }
		must.NoError(t, propose(create))
		must.NoError(t, propose(s.Snapshot().Delete("limit", "acct")))
		must.NoError(t, propose(create)) // id still tracked: returns the first outcome
		for i := range 3 * 4096 {
			must.NoError(t, propose(s.Snapshot().Put("limit", fmt.Sprint(i%100), value(i))))
		}
		must.ErrorIs(t, propose(create), changelog.ErrExpired)
		image, err := s.Image()
		must.NoError(t, err)
		other := changelog.NewStore(log, limits{}, 0)
		must.NoError(t, other.Restore(image))
		again, err := other.Image()
		must.NoError(t, err)
		must.Eq(t, image, again)
		must.Eq(t, s.Snapshot().Digest(), other.Snapshot().Digest())
		_, err = other.Propose(t.Context(), create)
		must.ErrorIs(t, err, changelog.ErrExpired)
		_, ok := other.Snapshot().Get("limit", "acct")
		must.False(t, ok)
	})
}

func FuzzRecord(f *testing.F) {
	log := &logtest.Log{}
	s := newEmptyStore(log)
	_, err := s.Propose(context.Background(), s.Snapshot().Put("limit", "a<b>", value(1)))
	must.NoError(f, err)
	must.NoError(f, s.WriteCheckpoint(context.Background(), 0))
	must.NoError(f, s.WriteCheckpoint(context.Background(), 1))
	for _, r := range log.Records() {
		f.Add(r.Data)
	}
	for _, seed := range []string{
		`{"v":2,"t":"change"}`, `{"v":1,"t":"part","part":{"mark":1,"index":5,"total":2}}`,
		`{"v":1,"t":"change","change":{"id":"x","kind":"limit","key":"\ud800","op":"put","value":" 1"}}`, `{"v":1,"t":"change","change":{"id":"x","kind":"limit","key":"a","op":"put","value": { "per_second" : 1 } }}`, `[]`, `{`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		// For any record content, a node restored from an image has the same state.
		seg := changelog.Segment{From: 1, To: 3, Records: []changelog.Record{{Offset: 1, Data: data}, {Offset: 2, Data: data}}}
		a, b := newEmptyStore(nil), newEmptyStore(nil)
		must.NoError(t, a.ApplySegment(seg))
		image, err := a.Image()
		must.NoError(t, err)
		must.NoError(t, b.Restore(image))
		must.Eq(t, a.Snapshot().Digest(), b.Snapshot().Digest())
		again, err := b.Image()
		must.NoError(t, err)
		must.Eq(t, image, again)
	})
}

func FuzzImage(f *testing.F) {
	s := newEmptyStore(&logtest.Log{})
	_, err := s.Propose(context.Background(), s.Snapshot().Put("limit", "a", value(1)))
	must.NoError(f, err)
	image, err := s.Image()
	must.NoError(f, err)
	f.Add(image)
	f.Add(image[:len(image)-4])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := changelog.NewStore[limit](nil, limits{}, 0)
		must.Eq(t, s.Restore(data) == nil, s.Ready())
	})
}
