package origin

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	systemSize = 4
	// busyInterval is the time between two streams, and two resumes, at each node for busyTime from each event, and
	// calmInterval that from then on.
	busyInterval = 400 * time.Millisecond
	busyTime     = 4 * time.Second
	calmInterval = 3 * time.Second
	// slowCall is the time that each call of a slow store takes.
	slowCall = 400 * time.Millisecond
	// calmMargin is the time, beyond the retention of streams and of records, until a release that serves alone counts as
	// the only one.
	calmMargin = retention + 2*readTimeout + 2*rewriteDelay
	// longRetention is a retention above removeDelay.
	longRetention = 2 * removeDelay
)

// fault is what happens to a system.
type fault int

const (
	appear      fault = iota // endpoints of a release register
	leave                    // those of a release leave, and serve for a while yet
	replace                  // a release takes the place of all others
	visit                    // a release appears, and leaves after a while
	killNode                 // a node is killed, and starts again after a while
	killDomain               // all nodes of a failure domain are
	killAll                  // all nodes are
	cutNodes                 // a node doesn't reach the others for a while
	cutStore                 // a node doesn't reach the store
	cutAll                   // a node reaches neither
	cutRecords               // a node reaches the registry, and doesn't reach the records
	slowStore                // the store takes long for each call of a node
	delayWrites              // writes of a node get no answer, and are executed after a while
	freeze                   // a node stands still
	storeAway                // the store fails all calls for a while
	refuseWrites
	loseWrites   // writes are executed without an answer
	restoreStore // the store comes back from an older copy
	faults
)

// event is a fault and the time until the next one.
type event struct {
	fault   fault
	node    int
	release string
	lasts   time.Duration
	then    time.Duration
}

// String implements fmt.Stringer.
func (e event) String() string {
	return fmt.Sprintf("{fault %d, node %d, release %s, lasts %v, then %v}", e.fault, e.node, e.release, e.lasts, e.then)
}

// TestMain sets the seed and the number of random schedules. Flags go before them: -rapid.seed=0 draws anew.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawEvent draws an event.
func drawEvent(t *rapid.T) event {
	duration := func(name string, longest int) time.Duration {
		return time.Duration(rapid.IntRange(0, longest).Draw(t, name)) * 100 * time.Millisecond
	}
	e := event{
		fault: fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")), node: rapid.IntRange(0, systemSize-1).Draw(t, "node"),
		release: fmt.Sprint("v", rapid.IntRange(1, 3).Draw(t, "release")), lasts: duration("lasts", 60), then: duration("then", 30),
	}
	switch rapid.IntRange(0, 9).Draw(t, "until") {
	case 7:
		e.then += duration("for", 900)
	case 8: // a record is about to be retired
		e.then += retention - time.Second
	case 9: // one is about to be removed
		e.then += retention + removeDelay - time.Second
	}
	return e
}

// TestStreamsGoOnAtNoOtherRelease checks that no stream goes on at another release than the one that began it, whatever
// happens to releases, nodes, their connections and the store, and that once calm one release serves all that have no
// record.
func TestStreamsGoOnAtNoOtherRelease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		keep := rapid.SampledFrom([]time.Duration{retention, longRetention}).Draw(rt, "retention")
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 12).Draw(rt, "events")
		check(t, rt, keep, true, events)
	})
}

// check plays events and fails if anything goes wrong. keep is the retention of streams. If calm is true, it checks what
// nodes do once all is calm, too.
func check(t *testing.T, reporter must.T, keep time.Duration, calm bool, events []event) {
	t.Helper()
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		s := newFaultySystem(t, systemSize, keep)
		s.play(events)
		if calm {
			s.calm(events[len(events)-1].release)
		}
		s.close()
		t.Logf("%d streams, resumed %v", s.begun, s.resumed)
		violations = s.violations
	})
	must.SliceEmpty(reporter, violations, must.Sprint(events, "\n", strings.Join(violations[:min(len(violations), 6)], "\n")))
}

// play has events happen.
func (s *faultySystem) play(events []event) {
	for i := range s.peers {
		s.startNode(i)
	}
	s.list("v1")
	s.eventAt.Store(time.Now().UnixNano())
	s.tasks.Go(s.traffic)
	s.pass(2 * time.Second)
	for i := range events {
		s.happen(&events[i])
		s.pass(events[i].then)
	}
}

// pass has time pass until all nodes wait for something.
func (s *faultySystem) pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// happen has an event happen.
func (s *faultySystem) happen(e *event) {
	s.eventAt.Store(time.Now().UnixNano())
	switch e.fault {
	case appear:
		s.list(e.release)
	case visit:
		s.list(e.release)
		s.later(e.lasts, func() { s.unlist(e.release, 0) })
	case leave:
		s.unlist(e.release, e.lasts)
	case replace:
		s.replaceAll(e.release, e.lasts)
	case killNode, killDomain, killAll:
		s.killFor(e)
	case cutNodes, cutStore, cutAll, cutRecords, slowStore, delayWrites, freeze:
		s.disturb(e)
	case restoreStore:
		s.streamsMu.Lock()
		s.restoredAt = time.Now()
		s.streamsMu.Unlock()
		s.store.restore(int(e.lasts / time.Second))
	default:
		s.store.setFaults(func(f *faultyStore) { f.apply(e) })
		s.later(e.lasts, func() { s.store.setFaults(func(*faultyStore) {}) })
	}
}

// apply adds the fault of an event. s.mu is held.
func (s *faultyStore) apply(e *event) {
	switch e.fault {
	case storeAway:
		s.away = true
	case refuseWrites:
		s.refuses = true
	case loseWrites:
		s.loses = true
	}
}

// later calls a function after a time, unless faults have ended.
func (s *faultySystem) later(d time.Duration, do func()) {
	s.tasks.Go(func() {
		if sleepFor(s.faults, d+time.Microsecond) {
			do()
		}
	})
}

// list registers endpoints of a release.
func (s *faultySystem) list(release string) {
	s.streamsMu.Lock()
	delete(s.servesUntil, release)
	s.streamsMu.Unlock()
	s.store.setListed(release, true)
}

// unlist removes the entries of a release, whose endpoints serve for a while yet.
func (s *faultySystem) unlist(release string, serves time.Duration) {
	s.streamsMu.Lock()
	if _, left := s.servesUntil[release]; !left {
		s.servesUntil[release] = time.Now().Add(serves)
	}
	s.streamsMu.Unlock()
	s.store.setListed(release, false)
}

// replaceAll has a release take the place of all others.
func (s *faultySystem) replaceAll(release string, serves time.Duration) {
	for _, other := range []string{"v1", "v2", "v3"} {
		if other != release {
			s.unlist(other, serves)
		}
	}
	s.list(release)
}

// killFor kills nodes, which start again after a while, one after the other.
func (s *faultySystem) killFor(e *event) {
	for i, p := range s.peers {
		if e.fault == killNode && i != e.node || e.fault == killDomain && p.Domain != s.peers[e.node].Domain {
			continue
		}
		s.kill(i)
		s.later(e.lasts*time.Duration(1+i)/systemSize, func() { s.startNode(i) })
	}
}

// disturb cuts a node off, or suspends it, for a while.
func (s *faultySystem) disturb(e *event) {
	s.mu.Lock()
	l := s.lives[e.node]
	s.mu.Unlock()
	if l == nil {
		return
	}
	switch e.fault {
	case freeze:
		l.frozenUntil.Store(time.Now().Add(e.lasts).UnixNano())
		return
	case cutRecords:
		l.cutFromRecords.Store(true)
	case delayWrites:
		l.writesLate.Store(int64(e.lasts))
	case slowStore:
		l.storeDelay.Store(int64(slowCall / 2))
	default:
		l.cutFromStore.Store(e.fault != cutNodes)
		l.cutFromNodes.Store(e.fault != cutStore)
	}
	s.later(e.lasts, l.heal)
}

// heal ends what disturbs a node.
func (l *life) heal() {
	l.cutFromStore.Store(false)
	l.cutFromNodes.Store(false)
	l.cutFromRecords.Store(false)
	l.storeDelay.Store(0)
	l.writesLate.Store(0)
}

// calm ends all faults, and checks that a release which serves alone from then on is taken for the only one in time.
func (s *faultySystem) calm(release string) {
	s.endFault()
	synctest.Wait()
	s.store.setFaults(func(*faultyStore) {})
	for i := range s.peers {
		s.startNode(i)
	}
	for _, l := range s.alive() {
		l.heal()
	}
	s.replaceAll(release, 0)
	s.pass(s.retention + removeDelay + calmMargin)
	s.checkSole(release)
}
