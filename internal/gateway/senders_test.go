package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/routing"
)

// rosterReads has a roster read the entries of so many nodes in three failure domains, proven so long ago.
func rosterReads(t *testing.T, r *roster, nodes int, ago time.Duration) {
	t.Helper()
	batch := follow.Batch{Snapshot: true, ProvenAt: time.Now().Add(-ago)}
	for i := range nodes {
		batch.Records = append(batch.Records, nodeRecord(t, i, i == 3))
	}
	r.Apply(batch)
}

func newSenders(t *testing.T, node string) *roster {
	t.Helper()
	return newRoster(node, nodeEntry{Addr: "10.0.1.1:7", Domain: "d0"}, noTopic{}, func([]peerload.Peer) {}, func(string) bool { return false }, zerolog.Nop())
}

// TestSendersOfAColdEndpoint are the nodes of its failure domain, those that are gone among them, as
// all read the same; or all nodes, where there are too few.
func TestSendersOfAColdEndpoint(t *testing.T) {
	r := newSenders(t, "n1")
	test.SliceEmpty(t, r.senders("d0", 4).Nodes, test.Sprint("nothing was read yet"))
	rosterReads(t, r, 12, 0)
	view := r.senders("d0", 4)
	test.Eq(t, []string{"n0", "n3", "n6", "n9"}, view.Nodes)
	test.Len(t, 12, r.senders("d0", 5).Nodes)
	test.Len(t, 12, r.senders("elsewhere", 1).Nodes)
	rosterReads(t, r, 12, 0)
	test.Eq(t, view.Generation, r.senders("d0", 4).Generation, test.Sprint("nothing changed"))
	rosterReads(t, r, 13, 0)
	test.NotEq(t, view.Generation, r.senders("d0", 4).Generation)
	test.True(t, slices.Contains(r.senders("d0", 4).Nodes, "n12"))
}

// TestSendersNeedAView has a node send nothing to cold endpoints where its own entry is missing, or its
// copy of the list is too old to count on.
func TestSendersNeedAView(t *testing.T) {
	r := newSenders(t, "other")
	rosterReads(t, r, 12, 0)
	test.SliceEmpty(t, r.senders("d0", 4).Nodes, test.Sprint("others don't count it"))
	r = newSenders(t, "n0")
	rosterReads(t, r, 12, oldestView+time.Second)
	test.SliceEmpty(t, r.senders("d0", 4).Nodes, test.Sprint("cut off for long"))
	rosterReads(t, r, 12, time.Second)
	test.Len(t, 4, r.senders("d0", 4).Nodes)
}

// TestMostCold follows the operators' bound, and has none for services that stand any number.
func TestMostCold(t *testing.T) {
	n := &Node{}
	n.boot.Store(&bootstrap.Node{Bounds: bootstrap.Bounds{ColdOverage: 1.5, ColdTolerance: 5}})
	test.Eq(t, 32, n.mostCold(&routing.Service{ColdPerSecond: 18}))
	test.Eq(t, 1+5, n.mostCold(&routing.Service{ColdPerSecond: 1}))
	test.Zero(t, n.mostCold(&routing.Service{}))
	n.boot.Store(&bootstrap.Node{})
	test.Eq(t, 18, n.mostCold(&routing.Service{ColdPerSecond: 18}), test.Sprint("without a bound, what it stands"))
	test.Eq(t, 1, n.mostCold(&routing.Service{ColdPerSecond: 0.2}))
}

// Endpoints of an evacuated failure domain were given back cold, under the starts that they had, and
// all nodes sent there at once: no entry had told that they had turned cold.

// TestGivenBackCold counts all endpoints of a failure domain as cold when it is given back.
func TestGivenBackCold(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	config := (&routing.Config{Services: []routing.Service{{Name: "s", ColdStart: 3 * time.Second}}}).Index()
	r := newRegistry(f, func() *routing.Config { return config }, noBounds, newRejected(zerolog.Nop()))
	s := newState(noBounds, zerolog.Nop())
	s.evacuations.ending = r.chill
	now := time.Now()
	for i, domain := range []string{"north", "east"} {
		f.Update(&fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Addr: fmt.Sprintf("10.0.0.%d:1", i+1), Domain: domain}, now)
	}
	s.readsNow(false, given("north"))
	s.readsNow(false, takenBack("north"))
	members := f.Members("s")
	test.True(t, members[0].Cold(now.Add(2900*time.Millisecond)))
	test.False(t, members[1].Cold(now))
}

// TestThrottlersOutliveAnOutage has nodes go on sending to limited endpoints during an outage of the store in which
// they send nothing to cold ones, as long as others count them, and not for longer.
func TestThrottlersOutliveAnOutage(t *testing.T) {
	r := newSenders(t, "n0")
	rosterReads(t, r, 12, oldestView+time.Second)
	test.SliceEmpty(t, r.senders("d0", 4).Nodes)
	test.Len(t, 4, r.throttlers("d0", 4).Nodes)
	rosterReads(t, r, 12, entryProof+time.Second)
	test.SliceEmpty(t, r.throttlers("d0", 4).Nodes)
	r = newSenders(t, "other")
	rosterReads(t, r, 12, 0)
	test.SliceEmpty(t, r.throttlers("d0", 4).Nodes, test.Sprint("others don't count it"))
}
