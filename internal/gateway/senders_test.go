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

// applyEntries applies the entries of the given number of nodes in three failure domains, with a
// confirmation that is ago old.
func applyEntries(t *testing.T, r *roster, nodes int, ago time.Duration) {
	t.Helper()
	batch := follow.Batch{Snapshot: true, ConfirmedAt: time.Now().Add(-ago)}
	for i := range nodes {
		batch.Records = append(batch.Records, entryRecord(t, i, i == 3))
	}
	r.Apply(batch)
}

func newSendersRoster(t *testing.T, node string) *roster {
	t.Helper()
	return newRoster(node, nodeEntry{Addr: "10.0.1.1:7", Domain: "d0"}, noTopic{}, func([]peerload.Peer) {}, func(string) bool { return false }, zerolog.Nop())
}

// TestSendersToColdEndpoint checks that the senders are the nodes of the endpoint's failure domain,
// including those marked as gone, since all nodes read the same entries; or all nodes if the domain
// has too few.
func TestSendersToColdEndpoint(t *testing.T) {
	r := newSendersRoster(t, "n1")
	test.SliceEmpty(t, r.senders("d0", 4).Nodes, test.Sprint("the list has not been read"))
	applyEntries(t, r, 12, 0)
	view := r.senders("d0", 4)
	test.Eq(t, []string{"n0", "n3", "n6", "n9"}, view.Nodes)
	test.Len(t, 12, r.senders("d0", 5).Nodes)
	test.Len(t, 12, r.senders("elsewhere", 1).Nodes)
	applyEntries(t, r, 12, 0)
	test.Eq(t, view.Generation, r.senders("d0", 4).Generation, test.Sprint("nothing changed"))
	applyEntries(t, r, 13, 0)
	test.NotEq(t, view.Generation, r.senders("d0", 4).Generation)
	test.True(t, slices.Contains(r.senders("d0", 4).Nodes, "n12"))
}

// TestSendersNeedCurrentList checks that a node sends nothing to cold endpoints if its own entry is
// missing or its copy of the list is too old.
func TestSendersNeedCurrentList(t *testing.T) {
	r := newSendersRoster(t, "other")
	applyEntries(t, r, 12, 0)
	test.SliceEmpty(t, r.senders("d0", 4).Nodes, test.Sprint("others don't count it"))
	r = newSendersRoster(t, "n0")
	applyEntries(t, r, 12, maxViewAge+time.Second)
	test.SliceEmpty(t, r.senders("d0", 4).Nodes, test.Sprint("the list is too old"))
	applyEntries(t, r, 12, time.Second)
	test.Len(t, 4, r.senders("d0", 4).Nodes)
}

// TestMaxColdRate checks the limit that follows from the operators' bounds, and that services
// without a limit have none.
func TestMaxColdRate(t *testing.T) {
	n := &Node{}
	n.boot.Store(&bootstrap.Node{Bounds: bootstrap.Bounds{ColdOverage: 1.5, ColdTolerance: 5}})
	test.Eq(t, 32, n.maxColdRate(&routing.Service{MaxColdPerSecond: 18}))
	test.Eq(t, 1+5, n.maxColdRate(&routing.Service{MaxColdPerSecond: 1}))
	test.Zero(t, n.maxColdRate(&routing.Service{}))
	n.boot.Store(&bootstrap.Node{})
	test.Eq(t, 18, n.maxColdRate(&routing.Service{MaxColdPerSecond: 18}), test.Sprint("without a bound, the service's own limit"))
	test.Eq(t, 1, n.maxColdRate(&routing.Service{MaxColdPerSecond: 0.2}))
}

// TestColdAfterEvacuation checks that all endpoints of a failure domain count as cold when its
// evacuation ends. If they became cold without a restart, no entry reports them as cold, and all
// nodes would send to them at once.
func TestColdAfterEvacuation(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	config := (&routing.Config{Services: []routing.Service{{Name: "s", ColdStart: 3 * time.Second}}}).Index()
	r := newRegistry(f, func() *routing.Config { return config }, noBounds, newRejected(zerolog.Nop()))
	s := newState(noBounds, zerolog.Nop())
	s.evacuations.onEnd = r.markDomainCold
	now := time.Now()
	for i, domain := range []string{"north", "east"} {
		f.Update(&fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Addr: fmt.Sprintf("10.0.0.%d:1", i+1), Domain: domain}, now)
	}
	s.applyNow(false, evacuationRecord("north"))
	s.applyNow(false, evacuationEndRecord("north"))
	members := f.Members("s")
	test.True(t, members[0].Cold(now.Add(2900*time.Millisecond)))
	test.False(t, members[1].Cold(now))
}

// TestRateLimitedSendersDuringOutage checks that nodes continue to send to rate-limited endpoints
// during a store outage in which they send nothing to cold ones, for as long as other nodes count
// them.
func TestRateLimitedSendersDuringOutage(t *testing.T) {
	r := newSendersRoster(t, "n0")
	applyEntries(t, r, 12, maxViewAge+time.Second)
	test.SliceEmpty(t, r.senders("d0", 4).Nodes)
	test.Len(t, 4, r.rateLimitedSenders("d0", 4).Nodes)
	applyEntries(t, r, 12, leaseDuration+time.Second)
	test.SliceEmpty(t, r.rateLimitedSenders("d0", 4).Nodes)
	r = newSendersRoster(t, "other")
	applyEntries(t, r, 12, 0)
	test.SliceEmpty(t, r.rateLimitedSenders("d0", 4).Nodes, test.Sprint("others don't count it"))
}
