package relay

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/intervals"
)

// restoredSizes returns the numbers of nodes of the simulated systems whose store comes back from an older copy.
func restoredSizes() []int {
	if underRace {
		return []int{24}
	}
	return []int{24, 64, 300, *simNodes}
}

const (
	// simPollInterval is the time between two polls of a node.
	simPollInterval = 400 * time.Millisecond
	// pollsANode is the number of calls of a node that polls for the ten seconds that are observed, and callsAReturn
	// those of one whose polls ask all nodes that they may until the store counts as stable.
	pollsANode   = int(10 * time.Second / simPollInterval)
	callsAReturn = int(simStableWindow/simPollInterval) * (simReaders + 2*maxOthers)
)

// simStableWindow is the time after a return of the store from which it counts as stable.
const simStableWindow = 3 * time.Second

// restoration is a return of the store from older copies, or without the history of changes.
type restoration struct {
	// compacts is set if the store comes back without the history, in place of an older copy.
	compacts bool
	outage   time.Duration   // before the first return
	again    []time.Duration // times of further returns, counted from the one before
	// lost are the nodes that are lost at the first return.
	lost func(n *simNode) bool
	// losesReaders is true if readers are among them.
	losesReaders bool
	// cutsOff is true if some nodes don't reach the store.
	cutsOff bool
}

// settleTime is the time after the last return from which all nodes must be current: the store counts as stable, and
// nodes that were lost are known to be.
func (r *restoration) settleTime() time.Duration {
	if r.cutsOff {
		return applyLimit
	}
	if r.losesReaders {
		return simStableWindow + simPeerTimeout
	}
	return simStableWindow
}

// restorations are the cases, by name.
func restorations() map[string]*restoration {
	none := func(*simNode) bool { return false }
	return map[string]*restoration{
		"once":                   {outage: time.Second, lost: none},
		"without history":        {outage: time.Second, compacts: true, lost: none},
		"without an outage":      {lost: none},
		"twice within a second":  {outage: time.Second, again: []time.Duration{700 * time.Millisecond}, lost: none},
		"a domain loses readers": {outage: time.Second, lost: func(n *simNode) bool { return n.domain == 1 && n.isReader() }, losesReaders: true},
		"all readers are lost":   {outage: time.Second, lost: (*simNode).isReader, losesReaders: true},
	}
}

// restoredResult is what was seen after a return of the store.
type restoredResult struct {
	age      time.Duration // the greatest age of a configuration once the store has been stable
	entered  time.Duration // from the last return until all nodes had the records
	listings int           // reads of all records of the store
	bytes    int           // read from the store
	calls    int           // between nodes, in the ten seconds after the first return
}

// newRestorableSystem returns a system whose nodes may read all records from one another and, when no other node has
// them, from the store.
func newRestorableSystem(nodes int) *system {
	s := newSystem(nodes, 0.01)
	for _, n := range s.nodes {
		n.topic.MayReadAll = func() bool { return true }
		if !intervals.FullMesh(nodes) {
			n.topic.Candidates = func() []netip.AddrPort { return s.candidatesOf(n) }
		}
	}
	return s
}

// playRestoration has the store of a system come back from an older copy, or without the history of changes.
func playRestoration(s *system, r *restoration) (result restoredResult) {
	for version := range 12 {
		s.store.write(configValue(version))
	}
	s.store.setAway(true)
	time.Sleep(r.outage)
	if r.compacts {
		s.store.write(configValue(20))
		s.store.compact()
	} else {
		s.store.restore(10)
	}
	s.store.setAway(false)
	for _, n := range s.nodes {
		if r.lost(n) {
			n.lose()
		}
	}
	_, _, bytes := s.store.totals()
	listings, calls, returned := s.store.allRead(), s.network.callCount(), time.Now()
	for _, after := range r.again {
		time.Sleep(after)
		s.store.restore(9)
	}
	last := time.Now()
	for time.Since(returned) < 10*time.Second {
		age, current := s.areCurrent(func(n *simNode) bool { return !r.lost(n) })
		if time.Since(last) > r.settleTime() {
			result.age = max(result.age, age)
		}
		if !current {
			result.entered = time.Since(last)
		}
		time.Sleep(50 * time.Millisecond)
	}
	_, _, after := s.store.totals()
	result.bytes = after - bytes
	result.listings, result.calls = s.store.allRead()-listings, s.network.callCount()-calls
	return result
}

// areCurrent returns the greatest age of the copies of the nodes that match, and whether all have the store's records.
func (s *system) areCurrent(match func(n *simNode) bool) (age time.Duration, current bool) {
	end := s.store.end()
	current = true
	for _, n := range s.nodes {
		if !match(n) {
			continue
		}
		a, _ := n.state()
		n.mu.Lock()
		current = current && n.next >= end
		n.mu.Unlock()
		age = max(age, a)
	}
	return age, current
}

// TestNodesDontHandOnCopiesOfAnEarlierEra checks that all nodes have current configurations of a store that came back
// from an older copy, or without history, once it counts as stable, and that only nodes that read it for others list it.
func TestNodesDontHandOnCopiesOfAnEarlierEra(t *testing.T) {
	for _, nodes := range restoredSizes() {
		for name, r := range restorations() {
			t.Run(fmt.Sprint(nodes, " nodes, ", name), func(t *testing.T) {
				t.Parallel()
				prepare := func(ctx context.Context) *system {
					s := newRestorableSystem(nodes)
					for i, n := range s.nodes {
						go n.store.heartbeat(ctx, time.Duration(i)*simHeartbeat/time.Duration(nodes))
					}
					return s
				}
				inVirtualTimeWith(t, prepare, func(t *testing.T, s *system) {
					result := playRestoration(s, r)
					returns := 1 + len(r.again)
					test.Less(t, staleLimit, result.age, test.Sprint("age of a configuration"))
					test.Less(t, r.settleTime(), result.entered, test.Sprint("time until all nodes had the records"))
					test.LessEq(t, (pollsANode+returns*callsAReturn)*nodes, result.calls, test.Sprint("calls between nodes"))
					test.Less(t, storeEgress, result.bytes, test.Sprint("bytes read from the store: what it sends in a second"))
					if !r.losesReaders {
						test.LessEq(t, 2*returns*simDomains*(simReaders+simStandbys), result.listings, test.Sprint("reads of all records"))
					}
					t.Logf("%+v", result)
				})
			})
		}
	}
}
