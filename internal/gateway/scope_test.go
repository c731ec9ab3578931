package gateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/relay"
	"github.com/cherryward/cherryward/internal/routing"
)

// scopedRegistry is the registry of a node in failure domain d0 of a large system, behind a copy of all
// entries.
type scopedRegistry struct {
	*registry
	*relay.Copy
	followsAll bool
	next       int64
}

func newScopedRegistry() *scopedRegistry {
	config := (&routing.Config{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{}}, {Name: "plain"}}}).Index()
	s := &scopedRegistry{registry: newRegistry(fleet.New(zerolog.Nop()), func() *routing.Config { return config }, noBounds, newRejected(zerolog.Nop()))}
	s.Copy = &relay.Copy{Sink: s.registry}
	s.scope.domain, s.scope.followsAll = "d0", func() bool { return s.followsAll }
	s.records = s.Copy.Records
	s.Copy.Apply(follow.Batch{Snapshot: true, ConfirmedAt: time.Now()})
	return s
}

// read applies records as a read of the registry would.
func (s *scopedRegistry) read(records ...follow.Record) {
	for i := range records {
		records[i].Offset = s.next
		s.next++
	}
	s.Copy.Apply(follow.Batch{Records: records, Next: s.next, ConfirmedAt: time.Now()})
}

// byDomain returns the numbers of endpoints of a service that the node follows.
func (s *scopedRegistry) byDomain(service string) map[string]int {
	counts := make(map[string]int)
	for _, m := range s.fleet.Members(service) {
		counts[m.Endpoint().Domain]++
	}
	return counts
}

// engineEntries returns entries of engines in three failure domains by turns.
func engineEntries(from, to int) []follow.Record {
	return heartbeats(to, 1)[from:to]
}

func removed(records []follow.Record) []follow.Record {
	list := make([]follow.Record, len(records))
	for i := range records {
		list[i] = follow.Record{Key: records[i].Key}
	}
	return list
}

// TestScope checks which endpoints a node of a large system follows: of very many engines those of its
// failure domain, all of them while these are few or the node must follow all, and all endpoints of
// smaller services.
func TestScope(t *testing.T) {
	s := newScopedRegistry()
	all, own := map[string]int{"d0": 400, "d1": 400, "d2": 400}, map[string]int{"d0": 400}
	s.read(follow.Record{Key: "p", Value: []byte(`{"service":"plain","address":"10.9.0.1:1","zone":"d1","version":"v1","slots":6,"state":"ready","cold-left-ms":0,"seq":1}`)})
	s.read(engineEntries(0, 900)...)
	test.Eq(t, map[string]int{"d0": 300, "d1": 300, "d2": 300}, s.byDomain("s"))
	s.read(engineEntries(900, 1200)...)
	test.Eq(t, own, s.byDomain("s"))
	test.Eq(t, map[string]int{"d1": 1}, s.byDomain("plain"))
	test.True(t, s.scope.isLarge.Load() && s.scope.isNarrow.Load())

	s.followsAll = true // its failure domain is evacuated, or it reads for others
	s.read()
	test.Eq(t, all, s.byDomain("s"))
	test.True(t, s.scope.isLarge.Load() && !s.scope.isNarrow.Load())
	s.followsAll = false
	s.read()
	test.Eq(t, own, s.byDomain("s"))

	var local []follow.Record
	for _, r := range engineEntries(0, 1200) {
		if m := s.fleet.Member(r.Key); m != nil && m.Endpoint().Domain == "d0" {
			local = append(local, r)
		}
	}
	s.read(removed(local[:350])...)
	test.Eq(t, map[string]int{"d0": 50, "d1": 400, "d2": 400}, s.byDomain("s"), test.Sprint("too few are left in the own failure domain"))
	s.read(local[:350]...)
	test.Eq(t, own, s.byDomain("s"))
	s.read(removed(engineEntries(0, 300))...)
	test.Eq(t, map[string]int{"d0": 300, "d1": 300, "d2": 300}, s.byDomain("s"))
	test.False(t, s.scope.isLarge.Load() || s.scope.isNarrow.Load())
}

// TestScopeAfterSnapshot checks that entries that a snapshot of the topic lacks no longer count.
func TestScopeAfterSnapshot(t *testing.T) {
	s := newScopedRegistry()
	s.read(engineEntries(0, 1200)...)
	s.Copy.Apply(follow.Batch{Records: engineEntries(0, 600), Snapshot: true, Next: s.next, ConfirmedAt: time.Now()})
	test.Eq(t, map[string]int{"d0": 200, "d1": 200, "d2": 200}, s.byDomain("s"))
	must.MapLen(t, 600, s.scope.listed)
}

// TestSnapshotOutOfScopeTakesNoMemory checks that a node that starts in a large system holds no endpoints
// of other failure domains in between.
func TestSnapshotOutOfScopeTakesNoMemory(t *testing.T) {
	s := newScopedRegistry()
	var log bytes.Buffer
	s.fleet = fleet.New(zerolog.New(&log))
	records := engineEntries(0, 3000)
	s.Copy.Apply(follow.Batch{Snapshot: true, Records: records, Next: 3000, ConfirmedAt: time.Now()})
	test.Eq(t, map[string]int{"d0": 1000}, s.byDomain("s"))
	test.StrNotContains(t, log.String(), "gone", test.Sprint("none was added and removed again"))

	s.followsAll = true
	s.Copy.Apply(follow.Batch{Snapshot: true, Records: records, Next: 3000, ConfirmedAt: time.Now()})
	test.Eq(t, map[string]int{"d0": 1000, "d1": 1000, "d2": 1000}, s.byDomain("s"))
}
