package limit

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tick = 20 * time.Millisecond

// fault is a deliberate defect, used to show that the checks detect it.
type fault int

const (
	faultNone           fault = iota
	faultNoKeepers            // lenders use parts without a grant from the keepers
	faultNoStartupDelay       // keepers grant leases right after their start
)

// simulation runs nodes in virtual time, over a network that can delay messages
// and lose those between disconnected nodes. It checks the bounds at every
// admission and every tick.
type simulation struct {
	settings      Settings
	limits        map[string]Limit
	accounts      []string // sorted
	fault         fault
	random        *rand.Rand
	now           time.Time
	nodes         []*simNode
	disconnected  map[[2]int]bool
	maxDelay      time.Duration // maximum extra delay
	inFlight      []delivery
	countMessages bool // count messages and their bytes
	bytes         int
	messages      int
	excess        map[string]Amount // leaky buckets that drain at the limit
	maxExcess     map[string]Amount // maximum level of each bucket
	admitted      map[string]int
	offered       map[string]int
	violation     error
}

type simNode struct {
	index       int
	self        Incarnation
	keeper      *Keeper
	lender      *Lender
	borrower    *Borrower
	firstKeeper int // index of the first keeper in its roster
	pausedUntil time.Time
	dead        bool
	ownerIndex  map[string]int         // index of the owner by account; -1 for none
	demand      map[string]float64     // requests per second
	tokens      float64                // per request
	runFor      time.Duration          // duration of a run
	runEnds     map[string][]time.Time // end times of the active runs
}

type delivery struct {
	at      time.Time
	to      Incarnation
	deliver func()
}

func newSimulation(settings Settings, seed uint64, limits map[string]Limit) *simulation {
	s := &simulation{
		settings: settings, limits: limits, accounts: slices.Sorted(maps.Keys(limits)), now: epoch, disconnected: map[[2]int]bool{},
		random: rand.New(rand.NewPCG(seed, 1)),
		excess: map[string]Amount{}, maxExcess: map[string]Amount{},
		admitted: map[string]int{}, offered: map[string]int{},
	}
	for i := range settings.Nodes {
		n := &simNode{index: i, ownerIndex: map[string]int{}, demand: map[string]float64{}, tokens: 1}
		s.nodes = append(s.nodes, n)
		s.restart(n)
		n.keeper.rates.readyAt, n.keeper.runs.readyAt = s.now, s.now // skip the startup delay
	}
	return s
}

func nodeID(i int) NodeID { return NodeID(fmt.Sprint("node-", i)) }

// keepers returns the keepers of every account according to n's roster.
func (s *simulation) keepers(n *simNode) []NodeID {
	ids := make([]NodeID, s.settings.Parts)
	for i := range ids {
		ids[i] = nodeID((n.firstKeeper + i) % len(s.nodes))
	}
	return ids
}

func (s *simulation) limit(account string) (Limit, bool) {
	l, ok := s.limits[account]
	return l, ok
}

// restart replaces n's process by a new incarnation without state.
func (s *simulation) restart(n *simNode) {
	owner := func(account string) NodeID {
		if n.ownerIndex[account] < 0 {
			return ""
		}
		return nodeID(n.ownerIndex[account])
	}
	keepers := func(string) []NodeID { return s.keepers(n) }
	n.self = Incarnation{Node: nodeID(n.index), Number: s.random.Uint64()}
	n.keeper = NewKeeper(s.now, s.settings, n.self.Node, keepers)
	if s.fault == faultNoStartupDelay {
		n.keeper.rates.readyAt, n.keeper.runs.readyAt = s.now, s.now
	}
	n.lender = NewLender(LenderConfig{Settings: s.settings, Self: n.self, Limits: s.limit, Owner: owner, Keepers: keepers})
	n.borrower = NewBorrower(s.now, BorrowerConfig{Settings: s.settings, Self: n.self, Limits: s.limit, Owner: owner})
	n.runEnds = map[string][]time.Time{}
	n.dead = false
}

// send queues a message for delivery, unless the nodes are disconnected. The
// message is dropped on delivery if the receiver has restarted or died.
func (s *simulation) send(from, to *simNode, message any, deliver func()) {
	if s.countMessages && from != to {
		text, err := json.Marshal(message)
		if err != nil {
			panic(err)
		}
		s.bytes += len(text)
		s.messages++
	}
	if s.disconnected[[2]int{from.index, to.index}] {
		return
	}
	delay := time.Millisecond
	if s.maxDelay > 0 {
		delay += time.Duration(s.random.Int64N(int64(s.maxDelay)))
	}
	s.inFlight = append(s.inFlight, delivery{at: s.now.Add(delay), to: to.self, deliver: deliver})
}

func (s *simulation) node(id NodeID) *simNode {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.self.Node == id })]
}

func (s *simulation) deliver() {
	pending := s.inFlight
	s.inFlight = nil
	for _, d := range pending {
		to := s.node(d.to.Node)
		switch {
		case to.self != d.to || to.dead:
		case d.at.After(s.now) || s.now.Before(to.pausedUntil):
			s.inFlight = append(s.inFlight, d)
		default:
			d.deliver()
		}
	}
}

// step advances the simulation by one tick.
func (s *simulation) step() {
	s.now = s.now.Add(tick)
	s.deliver()
	for _, n := range s.nodes {
		if !n.dead && !s.now.Before(n.pausedUntil) {
			s.serve(n)
			s.sendPending(n)
		}
	}
	s.drainBucketsAndCheckRuns()
}

// serve ends the runs on n that are over and offers new requests.
func (s *simulation) serve(n *simNode) {
	for _, account := range s.accounts {
		n.runEnds[account] = slices.DeleteFunc(n.runEnds[account], func(end time.Time) bool {
			if s.now.Before(end) {
				return false
			}
			n.borrower.Done(s.now, account, 0)
			return true
		})
		expected := n.demand[account] * tick.Seconds()
		count := int(expected)
		if s.random.Float64() < expected-float64(count) {
			count++
		}
		for range count {
			s.offered[account]++
			if n.borrower.Allow(s.now, account, n.tokens).OK() {
				s.admit(n, account)
			}
		}
	}
}

// admit counts an admission and checks it against the bound for every window
// that ends now.
func (s *simulation) admit(n *simNode, account string) {
	n.runEnds[account] = append(n.runEnds[account], s.now.Add(n.runFor))
	s.admitted[account]++
	limit := s.limits[account]
	e := s.excess[account].add(limit.limitedFields(Amount{Requests: 1, Tokens: n.tokens}))
	s.excess[account] = e
	s.maxExcess[account] = s.maxExcess[account].maxWith(e)
	bound := Amount{Requests: s.settings.Excess(limit.Requests), Tokens: s.settings.Excess(limit.Tokens)}
	if !bound.add(Amount{1e-6, 1e-6}).covers(e) {
		s.violation = fmt.Errorf("%s admitted %v beyond its limit, bound %v", account, e, bound)
	}
	if a := n.borrower.accounts[account]; limit.Runs > 0 && a.activeRuns > a.usableSlots(s.now) {
		s.violation = fmt.Errorf("%s has %d active runs but %d usable slots", account, a.activeRuns, a.usableSlots(s.now))
	}
}

// drainBucketsAndCheckRuns drains the buckets of excess by one tick and checks
// the sum of the valid run slots against the limit.
func (s *simulation) drainBucketsAndCheckRuns() {
	for account, limit := range s.limits {
		s.excess[account] = s.excess[account].sub(limit.rate().scale(tick.Seconds())).maxWith(Amount{})
		sum := s.settings.Nodes * s.settings.staticRuns(limit)
		for _, n := range s.nodes {
			if a, ok := n.borrower.accounts[account]; ok && !n.dead {
				sum += a.usableSlots(s.now) - a.staticRuns
			}
		}
		if limit.Runs > 0 && sum > limit.Runs {
			s.violation = fmt.Errorf("%s has %d valid run slots, limit %d", account, sum, limit.Runs)
		}
	}
}

// sendPending sends the messages that n's borrower and lender have to send, and
// lets n's keeper discard expired state.
func (s *simulation) sendPending(n *simNode) {
	for _, call := range n.borrower.Next(s.now) {
		to := s.node(call.To)
		s.send(n, to, call.Request, func() {
			grant := to.lender.Handle(s.now, call.Request)
			receive := n.borrower.Receive
			s.send(to, n, grant, func() { receive(s.now, grant) })
		})
	}
	for _, call := range n.lender.Next(s.now) {
		to := s.node(call.To)
		if s.fault == faultNoKeepers {
			n.lender.Receive(s.now, grantAll(call))
			continue
		}
		s.send(n, to, call.Request, func() {
			grant := to.keeper.Handle(s.now, call.Request)
			receive := n.lender.Receive
			s.send(to, n, grant, func() { receive(s.now, grant) })
		})
	}
	n.keeper.RemoveExpired(s.now)
}

// grantAll returns a grant of everything requested, without a request to a
// keeper.
func grantAll(call PartCall) PartGrant {
	grant := PartGrant{From: call.To, Seq: call.Request.Seq, RunParts: call.Request.AcquireRuns}
	for _, account := range call.Request.Acquire {
		grant.Parts = append(grant.Parts, Part{Account: account})
	}
	return grant
}

// run advances the simulation by d, or until a bound is violated.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end) && s.violation == nil; {
		s.step()
	}
}
