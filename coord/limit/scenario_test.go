package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const acct = "account"

// newScenario starts a simulation of seven nodes with one account, owned by
// node 0.
func newScenario(limit Limit) *simulation {
	return newSimulation(DefaultSettings(7), 4, map[string]Limit{acct: limit})
}

// setOwner makes nodes consider node number owner the account's owner; -1 stands
// for none.
func (w *simulation) setOwner(owner int, nodes ...*simNode) {
	for _, n := range nodes {
		n.ownerIndex[acct] = owner
	}
}

// partition disconnects the nodes a from the nodes b in both directions.
func (w *simulation) partition(a, b []*simNode) {
	for _, x := range a {
		for _, y := range b {
			w.disconnected[[2]int{x.index, y.index}] = true
			w.disconnected[[2]int{y.index, x.index}] = true
		}
	}
}

// admittedShare runs the simulation for d and returns the admitted fraction of
// the limit.
func (w *simulation) admittedShare(d time.Duration) float64 {
	before := w.admitted[acct]
	w.run(d)
	return float64(w.admitted[acct]-before) / (w.limits[acct].Requests * d.Seconds())
}

// timeToReach runs the simulation until at least the given fraction of the limit
// is admitted within one second. It returns the time before that second, or a
// minute if the fraction is not reached within a minute.
func (w *simulation) timeToReach(share float64) time.Duration {
	begin := w.now
	for w.violation == nil && w.now.Sub(begin) < time.Minute {
		if w.admittedShare(time.Second) >= share {
			return w.now.Sub(begin) - time.Second
		}
	}
	return time.Minute
}

// TestUtilisation checks how much of the limit is usable during and after
// faults.
func TestUtilisation(t *testing.T) {
	tests := []struct {
		name         string
		fault        func(w *simulation)
		initialShare float64       // minimum fraction of the limit admitted in the ten seconds after the fault
		usable       float64       // fraction of the limit that is usable afterwards
		recoveryTime time.Duration // maximum time until that fraction is usable
	}{
		{"one busy node", func(*simulation) {}, 0.8, 0.8, 0},
		{"without owner", func(w *simulation) { w.setOwner(-1, w.nodes...) }, 0.02, 0.02, 0},
		{"demand moves to another node", func(w *simulation) {
			w.nodes[1].demand[acct], w.nodes[2].demand[acct] = 0, 150
		}, 0.7, 0.8, 2 * time.Second},
		{"demand spreads to all", func(w *simulation) {
			for _, n := range w.nodes {
				n.demand[acct] = 30
			}
		}, 0.85, 0.85, time.Second},
		{"owner, a keeper too, dies; the next takes over", func(w *simulation) {
			w.nodes[0].dead = true
			w.setOwner(6, w.nodes...)
		}, 0.25, 0.6, 8 * time.Second},
		{"owner hands over", func(w *simulation) { w.setOwner(6, w.nodes...) }, 0.7, 0.8, 2 * time.Second},
		{"owner pauses for 5 s", func(w *simulation) { w.nodes[0].paused = w.now.Add(5 * time.Second) }, 0.35, 0.8, 8 * time.Second},
		{"two owners", func(w *simulation) {
			w.setOwner(6, w.nodes[3:]...)
			w.nodes[5].demand[acct] = 150
		}, 0.8, 0.8, time.Second},
		{"half cut off, an owner on each side", func(w *simulation) {
			w.partition(w.nodes[:4], w.nodes[4:])
			w.setOwner(6, w.nodes[4:]...)
			w.nodes[5].demand[acct] = 150
		}, 0.75, 0.8, time.Second},
		{"a keeper dies", func(w *simulation) { w.nodes[4].dead = true }, 0.65, 0.6, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newScenario(Limit{Requests: 100})
			w.nodes[1].demand[acct] = 150
			w.run(20 * time.Second)
			tc.fault(w)
			initialShare := w.admittedShare(10 * time.Second)
			steady := w.admittedShare(10 * time.Second)
			must.NoError(t, w.violation)

			w = newScenario(Limit{Requests: 100})
			w.nodes[1].demand[acct] = 150
			w.run(20 * time.Second)
			tc.fault(w)
			recoveryTime := w.timeToReach(tc.usable)
			t.Logf("%.0f%% in 10 s, then %.0f%%; %.0f%% after %s; maximum excess %.0f of %.0f",
				100*initialShare, 100*steady, 100*tc.usable, recoveryTime, w.maxExcess[acct].Requests, w.settings.Excess(100))
			must.NoError(t, w.violation)
			must.GreaterEq(t, tc.initialShare, initialShare)
			must.GreaterEq(t, tc.usable, steady)
			must.LessEq(t, tc.recoveryTime, recoveryTime)
		})
	}
}

// TestKeeperStartupDelay restarts all keepers while run slots are lent, and moves
// the ownership. Keepers that grant leases right after their start would let the
// new owner lend the same slots again.
func TestKeeperStartupDelay(t *testing.T) {
	for _, f := range []fault{faultNone, faultNoStartupDelay} {
		w := newScenario(Limit{Runs: 20})
		w.fault = f
		busy := w.nodes[5]
		busy.runFor = time.Hour
		busy.demand[acct] = 50
		w.run(20 * time.Second)
		must.GreaterEq(t, 18, busy.borrower.accounts[acct].activeRuns)
		must.NoError(t, w.violation)
		for _, n := range w.nodes[:5] {
			w.restart(n)
		}
		w.setOwner(6, w.nodes...)
		busy.ownerIndex[acct] = -1
		w.nodes[6].runFor = time.Hour
		w.nodes[6].demand[acct] = 50
		w.run(45 * time.Second)
		must.Eq(t, f == faultNoStartupDelay, w.violation != nil)
		if f == faultNone {
			must.GreaterEq(t, 18, w.nodes[6].borrower.accounts[acct].activeRuns)
		}
	}
}

// TestRunsTakeover kills the owner. The run slots that it lent must expire before
// another lender lends them again.
func TestRunsTakeover(t *testing.T) {
	w := newScenario(Limit{Runs: 20, Requests: 1000})
	w.setOwner(6, w.nodes...)
	w.nodes[1].demand[acct], w.nodes[1].runFor = 100, time.Second
	w.run(20 * time.Second)
	w.nodes[6].dead = true
	w.setOwner(0, w.nodes...)
	died := w.now
	var expired, lentAgain time.Duration
	for lentAgain == 0 && w.violation == nil && w.now.Sub(died) < time.Minute {
		w.step()
		slots := w.nodes[1].borrower.accounts[acct].usableSlots(w.now)
		if slots == 0 && expired == 0 {
			expired = w.now.Sub(died)
		}
		if slots >= 18 && expired > 0 {
			lentAgain = w.now.Sub(died)
		}
	}
	t.Logf("slots expired after %s, lent again after %s", expired, lentAgain)
	must.NoError(t, w.violation)
	must.Between(t, w.settings.RunLease/2, expired, w.settings.RunLease)
	must.Between(t, expired, lentAgain, w.settings.RunPartLease()+2*time.Second)
}

// TestCorrections charges estimates that differ from the actual usage by factors
// of 0.5 to 20. The actual usage must stay within the limit and come close to it.
func TestCorrections(t *testing.T) {
	for _, factor := range []float64{0.5, 1, 1.5, 20} {
		w := newScenario(Limit{Tokens: 1000})
		n := w.nodes[1]
		var used float64
		const seconds = 60
		for range int(seconds * time.Second / tick) {
			w.step()
			for range 4 {
				if n.borrower.Allow(w.now, acct, 100).OK() {
					n.borrower.Done(w.now, acct, 100*factor-100)
					used += 100 * factor
				}
			}
		}
		t.Logf("factor %.1f: used %.0f%% of the limit", factor, 100*used/(1000*seconds))
		must.Between(t, 0.75, used/(1000*seconds), 1+w.settings.Excess(1)/seconds)
	}
}

// TestTwoLendersDetected partitions the fleet with an owner on each side. Lenders
// that use parts without a grant from the keepers lend the pool twice, which the
// simulation must detect.
func TestTwoLendersDetected(t *testing.T) {
	w := newScenario(Limit{Requests: 100})
	w.fault = faultNoKeepers
	w.partition(w.nodes[:4], w.nodes[4:])
	w.setOwner(6, w.nodes[4:]...)
	w.nodes[1].demand[acct], w.nodes[5].demand[acct] = 150, 150
	w.run(time.Minute)
	must.ErrorContains(t, w.violation, "beyond its limit")
}

// TestDifferingRosters partitions the fleet into two sides with their own owner
// and with rosters that differ in two of five keepers. The pool may then grow by
// at most two fifths, as the package documentation states.
func TestDifferingRosters(t *testing.T) {
	w := newScenario(Limit{Requests: 100})
	w.partition(w.nodes[:4], w.nodes[4:])
	w.setOwner(6, w.nodes[4:]...)
	for _, n := range w.nodes[4:] {
		n.firstKeeper = 2
	}
	w.nodes[1].demand[acct], w.nodes[5].demand[acct] = 150, 150
	w.run(10 * time.Second)
	share := w.admittedShare(10 * time.Second)
	t.Logf("%.0f%% of the limit", 100*share)
	must.NoError(t, w.violation)
	must.Between(t, 1.1, share, 0.2+0.8*(1+2.0/5))
}

// TestRuns checks that run slots are lent, become available to another node when
// the first one is idle, and that the state of an idle account is removed.
func TestRuns(t *testing.T) {
	w := newScenario(Limit{Runs: 70, Requests: 1000})
	activeRuns := func(i int) int {
		if a, ok := w.nodes[i].borrower.accounts[acct]; ok {
			return a.activeRuns
		}
		return 0
	}
	w.nodes[1].demand[acct], w.nodes[1].runFor = 100, 5*time.Second
	w.run(15 * time.Second)
	must.Eq(t, 58, activeRuns(1)) // 70 minus two static slots of each other node
	w.nodes[1].demand[acct] = 0
	w.nodes[2].demand[acct], w.nodes[2].runFor = 100, 5*time.Second
	w.run(15 * time.Second)
	must.Eq(t, 0, activeRuns(1))
	must.Eq(t, 58, activeRuns(2))
	w.nodes[2].demand[acct] = 0
	w.run(time.Minute)
	must.NoError(t, w.violation)
	for _, n := range w.nodes {
		must.Eq(t, 0, n.borrower.Accounts())
		must.Eq(t, 0, n.lender.Accounts())
		must.MapEmpty(t, n.keeper.rates.parts)
		must.MapEmpty(t, n.keeper.runs.parts)
	}
}

// TestBurst leaves the limit mostly unused while a lender holds the parts. The
// accrued amount must then be usable, but only up to Settings.Excess.
func TestBurst(t *testing.T) {
	w := newScenario(Limit{Requests: 100})
	w.nodes[1].demand[acct] = 1
	w.run(30 * time.Second)
	for _, n := range w.nodes {
		n.demand[acct] = 500
	}
	w.run(20 * time.Second)
	must.NoError(t, w.violation)
	must.Between(t, 150, w.maxExcess[acct].Requests, w.settings.Excess(100))
}
