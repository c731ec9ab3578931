package relay

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

// inVirtualTime runs a test of a system of nodes that have started.
func inVirtualTime(t *testing.T, nodes int, test func(t *testing.T, s *system)) {
	t.Helper()
	inVirtualTimeWith(t, func(context.Context) *system { return newSystem(nodes, 0.03) }, test)
}

// inVirtualTimeWith is inVirtualTime for a system that prepare returns. What it starts ends with ctx.
func inVirtualTimeWith(t *testing.T, prepare func(ctx context.Context) *system, test func(t *testing.T, s *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		s := prepare(ctx)
		s.store.write(configValue(0))
		s.start(ctx)
		test(t, s)
	})
}

// third matches a third of the nodes.
func third(n *simNode) bool { return (n.domain+n.rank)%3 == 1 }

// TestStormOfLongConfigurations checks that nodes which the store serves keep current configurations during
// a series of changes while the store rejects the calls of a third of them, and that all nodes have the
// newest one soon after that.
func TestStormOfLongConfigurations(t *testing.T) {
	for _, nodes := range simulatedSizes() {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			inVirtualTime(t, nodes, func(t *testing.T, s *system) {
				storm := storm{changes: 21, interval: 330 * time.Millisecond, rejectedFrom: 1500 * time.Millisecond, rejectedFor: 9 * time.Second, rejected: third}
				_, _, before := s.store.totals()
				r := s.play(&storm, 25*time.Second)
				test.Less(t, applyLimit, r.late, test.Sprint("time until a version was in force at a node that the store serves"))
				test.Less(t, applyLimit, r.rejectedLate, test.Sprint("time until a version was in force at all nodes"))
				test.Less(t, staleLimit, r.age, test.Sprint("age of a configuration at a node that the store serves"))
				test.False(t, r.wentBack)
				age, version := s.oldest(all)
				test.Less(t, staleLimit, age, test.Sprint("age after all"))
				test.Eq(t, storm.changes, int(version))
				records, reads, bytes := s.store.totals()
				test.Less(t, records*simDomains*(simReaders+simStandbys)*len(configValue(0)), bytes-before, test.Sprint("bytes read from the store: only readers and standbys read changes"))
				t.Logf("%+v, %d reads of the store, %d MB, of which %d after the start; %d MB of responses between nodes", r, reads, bytes>>20, (bytes-before)>>20, s.network.sentBytes()>>20)
			})
		})
	}
}

// rejectedNodes is the number of nodes of a system of which the store rejects some: seven a domain, of which one is
// an ordinary one.
const rejectedNodes = 35

// rejectedTimes returns how long the store rejects nodes.
func rejectedTimes() []time.Duration {
	if underRace {
		return []time.Duration{2 * time.Second}
	}
	return []time.Duration{2 * time.Second, 9 * time.Second, 30 * time.Second}
}

// TestNodesRejectedByStore checks that nodes which the store serves keep current configurations whichever nodes
// it rejects, and for how long.
func TestNodesRejectedByStore(t *testing.T) {
	for name, rejected := range map[string]func(n *simNode) bool{
		"an ordinary node":              func(n *simNode) bool { return n.domain == 1 && n.rank == simReaders+simStandbys },
		"one reader":                    func(n *simNode) bool { return n.domain == 1 && n.rank == 0 },
		"the readers of a domain":       func(n *simNode) bool { return n.domain == 1 && n.isReader() },
		"all readers":                   (*simNode).isReader,
		"all readers and some standbys": func(n *simNode) bool { return n.rank < simReaders+simStandbys-1 },
		"readers and standbys":          func(n *simNode) bool { return n.rank < simReaders+simStandbys },
		"a domain":                      func(n *simNode) bool { return n.domain == 1 },
		"all but readers":               func(n *simNode) bool { return !n.isReader() },
	} {
		for _, lasts := range rejectedTimes() {
			t.Run(fmt.Sprint(name, " for ", lasts), func(t *testing.T) {
				t.Parallel()
				inVirtualTime(t, rejectedNodes, func(t *testing.T, s *system) {
					storm := storm{changes: 6, interval: 330 * time.Millisecond, rejectedFrom: time.Second, rejectedFor: lasts, rejected: rejected}
					r := s.play(&storm, lasts+8*time.Second)
					test.Less(t, applyLimit, r.late, test.Sprint("time until a version was in force at a node that the store serves"))
					test.Less(t, staleLimit, r.age, test.Sprint("age of a configuration at a node that the store serves"))
					test.False(t, r.wentBack)
					age, version := s.oldest(all)
					test.Less(t, staleLimit, age, test.Sprint("age after all"))
					test.Eq(t, storm.changes, int(version))
				})
			})
		}
	}
}

// TestAllNodesStartTogether checks that all nodes of a large system have the configuration soon after they start
// at the same moment, as after a loss of power, though each reads the list of nodes from the store first, which
// takes more than the store sends in the time of a call.
func TestAllNodesStartTogether(t *testing.T) {
	const recoverLimit = 18 * time.Second
	for _, nodes := range simulatedSizes() {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer stop()
				s := newSystem(nodes, 0.03)
				for version := range 20 {
					s.store.write(configValue(version))
				}
				began := time.Now()
				for i, n := range s.nodes {
					n.topic.Candidates = func() []netip.AddrPort { return s.readersOf(n) }
					n.topic.MayReadAll = func() bool { return n.isReader() || time.Since(began) > 2*time.Second }
					go func() {
						time.Sleep(time.Duration(i) * 300 * time.Millisecond / time.Duration(nodes))
						n.store.list(ctx, nodes*listedBytes)
						s.run(ctx, n)
					}()
				}
				for age, version := s.oldest(all); version < 19 || age > staleLimit; age, version = s.oldest(all) {
					if time.Since(began) > recoverLimit {
						t.Fatal("a node has no configuration")
					}
					time.Sleep(50 * time.Millisecond)
				}
				_, reads, bytes := s.store.totals()
				t.Logf("all have it after %v; the store was read %d times and sent %d MB", time.Since(began), reads, bytes>>20)
			})
		})
	}
}

// all matches all nodes.
func all(int) bool { return true }

// TestStoreIsReadSoonIfNodesAreGone checks that a node whose readers, standbys and backups don't respond reads the
// store within a second.
func TestStoreIsReadSoonIfNodesAreGone(t *testing.T) {
	inVirtualTime(t, 105, func(t *testing.T, s *system) {
		for _, n := range s.nodes[:simDomains*(simReaders+simStandbys)] {
			n.conn.mu.Lock()
			n.conn.down = true
			n.conn.mu.Unlock()
		}
		s.store.write(configValue(1))
		time.Sleep(2 * time.Second)
		late := 0
		for _, n := range s.nodes[simDomains*(simReaders+simStandbys):] {
			if _, version := n.state(); version != 1 {
				late++
			}
		}
		test.Eq(t, 0, late)
	})
}
