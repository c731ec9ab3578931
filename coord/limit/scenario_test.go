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
func (s *simulation) setOwner(owner int, nodes ...*simNode) {
	for _, n := range nodes {
		n.ownerIndex[acct] = owner
	}
}

// partition disconnects the nodes a from the nodes b in both directions.
func (s *simulation) partition(a, b []*simNode) {
	for _, x := range a {
		for _, y := range b {
			s.disconnected[[2]int{x.index, y.index}] = true
			s.disconnected[[2]int{y.index, x.index}] = true
		}
	}
}

// admittedFraction runs the simulation for d and returns the admitted fraction of
// the limit.
func (s *simulation) admittedFraction(d time.Duration) float64 {
	before := s.admitted[acct]
	s.run(d)
	return float64(s.admitted[acct]-before) / (s.limits[acct].Requests * d.Seconds())
}

// timeToReach runs the simulation until at least the given fraction of the limit
// is admitted within one second. It returns the time before that second, or a
// minute if the fraction is not reached within a minute.
func (s *simulation) timeToReach(fraction float64) time.Duration {
	begin := s.now
	for s.violation == nil && s.now.Sub(begin) < time.Minute {
		if s.admittedFraction(time.Second) >= fraction {
			return s.now.Sub(begin) - time.Second
		}
	}
	return time.Minute
}

// TestUtilisation checks how much of the limit is usable during and after
// faults.
func TestUtilisation(t *testing.T) {
	tests := []struct {
		name            string
		fault           func(s *simulation)
		initialFraction float64       // minimum fraction of the limit admitted in the ten seconds after the fault
		usable          float64       // fraction of the limit that is usable afterwards
		recoveryTime    time.Duration // maximum time until that fraction is usable
	}{
		{"one busy node", func(*simulation) {}, 0.8, 0.8, 0},
		{"without owner", func(s *simulation) { s.setOwner(-1, s.nodes...) }, 0.02, 0.02, 0},
		{"demand moves to another node", func(s *simulation) {
			s.nodes[1].demand[acct], s.nodes[2].demand[acct] = 0, 150
		}, 0.7, 0.8, 2 * time.Second},
		{"demand spreads to all", func(s *simulation) {
			for _, n := range s.nodes {
				n.demand[acct] = 30
			}
		}, 0.85, 0.85, time.Second},
		{"owner, a keeper too, dies; the next takes over", func(s *simulation) {
			s.nodes[0].dead = true
			s.setOwner(6, s.nodes...)
		}, 0.25, 0.6, 8 * time.Second},
		{"owner hands over", func(s *simulation) { s.setOwner(6, s.nodes...) }, 0.7, 0.8, 2 * time.Second},
		{"owner pauses for 5 s", func(s *simulation) { s.nodes[0].pausedUntil = s.now.Add(5 * time.Second) }, 0.35, 0.8, 8 * time.Second},
		{"two owners", func(s *simulation) {
			s.setOwner(6, s.nodes[3:]...)
			s.nodes[5].demand[acct] = 150
		}, 0.8, 0.8, time.Second},
		{"half cut off, an owner on each side", func(s *simulation) {
			s.partition(s.nodes[:4], s.nodes[4:])
			s.setOwner(6, s.nodes[4:]...)
			s.nodes[5].demand[acct] = 150
		}, 0.75, 0.8, time.Second},
		{"a keeper dies", func(s *simulation) { s.nodes[4].dead = true }, 0.65, 0.6, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newScenario(Limit{Requests: 100})
			s.nodes[1].demand[acct] = 150
			s.run(20 * time.Second)
			tc.fault(s)
			initialFraction := s.admittedFraction(10 * time.Second)
			steady := s.admittedFraction(10 * time.Second)
			must.NoError(t, s.violation)

			s = newScenario(Limit{Requests: 100})
			s.nodes[1].demand[acct] = 150
			s.run(20 * time.Second)
			tc.fault(s)
			recoveryTime := s.timeToReach(tc.usable)
			t.Logf("%.0f%% in 10 s, then %.0f%%; %.0f%% after %s; maximum excess %.0f of %.0f",
				100*initialFraction, 100*steady, 100*tc.usable, recoveryTime, s.maxExcess[acct].Requests, s.settings.Excess(100))
			must.NoError(t, s.violation)
			must.GreaterEq(t, tc.initialFraction, initialFraction)
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
		s := newScenario(Limit{Runs: 20})
		s.fault = f
		busy := s.nodes[5]
		busy.runFor = time.Hour
		busy.demand[acct] = 50
		s.run(20 * time.Second)
		must.GreaterEq(t, 18, busy.borrower.accounts[acct].activeRuns)
		must.NoError(t, s.violation)
		for _, n := range s.nodes[:5] {
			s.restart(n)
		}
		s.setOwner(6, s.nodes...)
		busy.ownerIndex[acct] = -1
		s.nodes[6].runFor = time.Hour
		s.nodes[6].demand[acct] = 50
		s.run(45 * time.Second)
		must.Eq(t, f == faultNoStartupDelay, s.violation != nil)
		if f == faultNone {
			must.GreaterEq(t, 18, s.nodes[6].borrower.accounts[acct].activeRuns)
		}
	}
}

// TestRunsTakeover kills the owner. The run slots that it lent must expire before
// another lender lends them again.
func TestRunsTakeover(t *testing.T) {
	s := newScenario(Limit{Runs: 20, Requests: 1000})
	s.setOwner(6, s.nodes...)
	s.nodes[1].demand[acct], s.nodes[1].runFor = 100, time.Second
	s.run(20 * time.Second)
	s.nodes[6].dead = true
	s.setOwner(0, s.nodes...)
	died := s.now
	var expired, lentAgain time.Duration
	for lentAgain == 0 && s.violation == nil && s.now.Sub(died) < time.Minute {
		s.step()
		slots := s.nodes[1].borrower.accounts[acct].usableSlots(s.now)
		if slots == 0 && expired == 0 {
			expired = s.now.Sub(died)
		}
		if slots >= 18 && expired > 0 {
			lentAgain = s.now.Sub(died)
		}
	}
	t.Logf("slots expired after %s, lent again after %s", expired, lentAgain)
	must.NoError(t, s.violation)
	must.Between(t, s.settings.RunLease/2, expired, s.settings.RunLease)
	must.Between(t, expired, lentAgain, s.settings.RunPartLease()+2*time.Second)
}

// TestCorrections charges estimates that differ from the actual usage by factors
// of 0.5 to 20. The actual usage must stay within the limit and come close to it.
func TestCorrections(t *testing.T) {
	for _, factor := range []float64{0.5, 1, 1.5, 20} {
		s := newScenario(Limit{Tokens: 1000})
		n := s.nodes[1]
		var used float64
		const seconds = 60
		for range int(seconds * time.Second / tick) {
			s.step()
			for range 4 {
				if n.borrower.Allow(s.now, acct, 100).OK() {
					n.borrower.Done(s.now, acct, 100*factor-100)
					used += 100 * factor
				}
			}
		}
		t.Logf("factor %.1f: used %.0f%% of the limit", factor, 100*used/(1000*seconds))
		must.Between(t, 0.75, used/(1000*seconds), 1+s.settings.Excess(1)/seconds)
	}
}

// TestTwoLendersDetected partitions the fleet with an owner on each side. Lenders
// that use parts without a grant from the keepers lend the pool twice, which the
// simulation must detect.
func TestTwoLendersDetected(t *testing.T) {
	s := newScenario(Limit{Requests: 100})
	s.fault = faultNoKeepers
	s.partition(s.nodes[:4], s.nodes[4:])
	s.setOwner(6, s.nodes[4:]...)
	s.nodes[1].demand[acct], s.nodes[5].demand[acct] = 150, 150
	s.run(time.Minute)
	must.ErrorContains(t, s.violation, "beyond its limit")
}

// TestDifferingRosters partitions the fleet into two sides with their own owner
// and with rosters that differ in two of five keepers. The pool may then grow by
// at most two fifths, as the package documentation states.
func TestDifferingRosters(t *testing.T) {
	s := newScenario(Limit{Requests: 100})
	s.partition(s.nodes[:4], s.nodes[4:])
	s.setOwner(6, s.nodes[4:]...)
	for _, n := range s.nodes[4:] {
		n.firstKeeper = 2
	}
	s.nodes[1].demand[acct], s.nodes[5].demand[acct] = 150, 150
	s.run(10 * time.Second)
	fraction := s.admittedFraction(10 * time.Second)
	t.Logf("%.0f%% of the limit", 100*fraction)
	must.NoError(t, s.violation)
	must.Between(t, 1.1, fraction, 0.2+0.8*(1+2.0/5))
}

// TestRuns checks that run slots are lent, become available to another node when
// the first one is idle, and that the state of an idle account is removed.
func TestRuns(t *testing.T) {
	s := newScenario(Limit{Runs: 70, Requests: 1000})
	activeRuns := func(i int) int {
		if a, ok := s.nodes[i].borrower.accounts[acct]; ok {
			return a.activeRuns
		}
		return 0
	}
	s.nodes[1].demand[acct], s.nodes[1].runFor = 100, 5*time.Second
	s.run(15 * time.Second)
	must.Eq(t, 58, activeRuns(1)) // 70 minus two static slots of each other node
	s.nodes[1].demand[acct] = 0
	s.nodes[2].demand[acct], s.nodes[2].runFor = 100, 5*time.Second
	s.run(15 * time.Second)
	must.Eq(t, 0, activeRuns(1))
	must.Eq(t, 58, activeRuns(2))
	s.nodes[2].demand[acct] = 0
	s.run(time.Minute)
	must.NoError(t, s.violation)
	for _, n := range s.nodes {
		must.Eq(t, 0, n.borrower.Accounts())
		must.Eq(t, 0, n.lender.Accounts())
		must.MapEmpty(t, n.keeper.rates.parts)
		must.MapEmpty(t, n.keeper.runs.parts)
	}
}

// TestBurst leaves the limit mostly unused while a lender holds the parts. The
// accrued amount must then be usable, but only up to Settings.Excess.
func TestBurst(t *testing.T) {
	s := newScenario(Limit{Requests: 100})
	s.nodes[1].demand[acct] = 1
	s.run(30 * time.Second)
	for _, n := range s.nodes {
		n.demand[acct] = 500
	}
	s.run(20 * time.Second)
	must.NoError(t, s.violation)
	must.Between(t, 150, s.maxExcess[acct].Requests, s.settings.Excess(100))
}
