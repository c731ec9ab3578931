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
	faultNoKeepers            // lenders use parts without asking the keepers
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
	self        Process
	keeper      *Keeper
	lender      *Lender
	borrower    *Borrower
	firstKeeper int // index of the first keeper in its roster
	paused      time.Time
	dead        bool
	ownerIndex  map[string]int         // index of the owner by account; -1 for none
	demand      map[string]float64     // requests per second
	tokens      float64                // per request
	runFor      time.Duration          // duration of a run
	runEnds     map[string][]time.Time // end times of the active runs
}

type delivery struct {
	at      time.Time
	to      Process
	deliver func()
}

func newSimulation(settings Settings, seed uint64, limits map[string]Limit) *simulation {
	w := &simulation{
		settings: settings, limits: limits, accounts: slices.Sorted(maps.Keys(limits)), now: epoch, disconnected: map[[2]int]bool{},
		random: rand.New(rand.NewPCG(seed, 1)),
		excess: map[string]Amount{}, maxExcess: map[string]Amount{},
		admitted: map[string]int{}, offered: map[string]int{},
	}
	for i := range settings.Nodes {
		n := &simNode{index: i, ownerIndex: map[string]int{}, demand: map[string]float64{}, tokens: 1}
		w.nodes = append(w.nodes, n)
		w.restart(n)
		n.keeper.rates.readyAt, n.keeper.runs.readyAt = w.now, w.now // skip the startup delay
	}
	return w
}

func nodeID(i int) NodeID { return NodeID(fmt.Sprint("node-", i)) }

// keepers returns the keepers of every account according to n's roster.
func (w *simulation) keepers(n *simNode) []NodeID {
	ids := make([]NodeID, w.settings.Parts)
	for i := range ids {
		ids[i] = nodeID((n.firstKeeper + i) % len(w.nodes))
	}
	return ids
}

func (w *simulation) limit(account string) (Limit, bool) {
	l, ok := w.limits[account]
	return l, ok
}

// restart replaces n's process by a new incarnation without state.
func (w *simulation) restart(n *simNode) {
	owner := func(account string) NodeID {
		if n.ownerIndex[account] < 0 {
			return ""
		}
		return nodeID(n.ownerIndex[account])
	}
	keepers := func(string) []NodeID { return w.keepers(n) }
	n.self = Process{Node: nodeID(n.index), Incarnation: w.random.Uint64()}
	n.keeper = NewKeeper(w.now, w.settings, n.self.Node, keepers)
	if w.fault == faultNoStartupDelay {
		n.keeper.rates.readyAt, n.keeper.runs.readyAt = w.now, w.now
	}
	n.lender = NewLender(LenderConfig{Settings: w.settings, Self: n.self, Limits: w.limit, Owner: owner, Keepers: keepers})
	n.borrower = NewBorrower(w.now, BorrowerConfig{Settings: w.settings, Self: n.self, Limits: w.limit, Owner: owner})
	n.runEnds = map[string][]time.Time{}
	n.dead = false
}

// send queues a message for delivery, unless the nodes are disconnected. The
// message is dropped on delivery if the receiver has restarted or died.
func (w *simulation) send(from, to *simNode, message any, deliver func()) {
	if w.countMessages && from != to {
		text, err := json.Marshal(message)
		if err != nil {
			panic(err)
		}
		w.bytes += len(text)
		w.messages++
	}
	if w.disconnected[[2]int{from.index, to.index}] {
		return
	}
	delay := time.Millisecond
	if w.maxDelay > 0 {
		delay += time.Duration(w.random.Int64N(int64(w.maxDelay)))
	}
	w.inFlight = append(w.inFlight, delivery{at: w.now.Add(delay), to: to.self, deliver: deliver})
}

func (w *simulation) node(id NodeID) *simNode {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *simNode) bool { return n.self.Node == id })]
}

func (w *simulation) deliver() {
	pending := w.inFlight
	w.inFlight = nil
	for _, d := range pending {
		to := w.node(d.to.Node)
		switch {
		case to.self != d.to || to.dead:
		case d.at.After(w.now) || w.now.Before(to.paused):
			w.inFlight = append(w.inFlight, d)
		default:
			d.deliver()
		}
	}
}

// step advances the world by one tick.
func (w *simulation) step() {
	w.now = w.now.Add(tick)
	w.deliver()
	for _, n := range w.nodes {
		if !n.dead && !w.now.Before(n.paused) {
			w.serve(n)
			w.sendPending(n)
		}
	}
	w.checkRuns()
}

// serve ends the runs on n that are over and offers new requests.
func (w *simulation) serve(n *simNode) {
	for _, account := range w.accounts {
		n.runEnds[account] = slices.DeleteFunc(n.runEnds[account], func(end time.Time) bool {
			if w.now.Before(end) {
				return false
			}
			n.borrower.Done(w.now, account, 0)
			return true
		})
		expected := n.demand[account] * tick.Seconds()
		count := int(expected)
		if w.random.Float64() < expected-float64(count) {
			count++
		}
		for range count {
			w.offered[account]++
			if n.borrower.Allow(w.now, account, n.tokens).OK() {
				w.admit(n, account)
			}
		}
	}
}

// admit counts an admission and checks it against the bound for every window
// that ends now.
func (w *simulation) admit(n *simNode, account string) {
	n.runEnds[account] = append(n.runEnds[account], w.now.Add(n.runFor))
	w.admitted[account]++
	limit := w.limits[account]
	e := w.excess[account].add(limit.dropUnlimited(Amount{Requests: 1, Tokens: n.tokens}))
	w.excess[account] = e
	w.maxExcess[account] = w.maxExcess[account].maxWith(e)
	bound := Amount{Requests: w.settings.Excess(limit.Requests), Tokens: w.settings.Excess(limit.Tokens)}
	if !bound.add(Amount{1e-6, 1e-6}).covers(e) {
		w.violation = fmt.Errorf("%s admitted %v beyond its limit, bound %v", account, e, bound)
	}
	if a := n.borrower.accounts[account]; limit.Runs > 0 && a.activeRuns > a.usableSlots(w.now) {
		w.violation = fmt.Errorf("%s has %d active runs but %d usable slots", account, a.activeRuns, a.usableSlots(w.now))
	}
}

// checkRuns checks the sum of the valid run slots against the limit.
func (w *simulation) checkRuns() {
	for account, limit := range w.limits {
		w.excess[account] = w.excess[account].sub(limit.rate().scale(tick.Seconds())).maxWith(Amount{})
		sum := w.settings.Nodes * w.settings.staticRuns(limit)
		for _, n := range w.nodes {
			if a, ok := n.borrower.accounts[account]; ok && !n.dead {
				sum += a.usableSlots(w.now) - a.staticRuns
			}
		}
		if limit.Runs > 0 && sum > limit.Runs {
			w.violation = fmt.Errorf("%s has %d valid run slots, limit %d", account, sum, limit.Runs)
		}
	}
}

// sendPending sends the messages that n's borrower and lender have to send, and
// lets n's keeper discard expired state.
func (w *simulation) sendPending(n *simNode) {
	for _, call := range n.borrower.Next(w.now) {
		to := w.node(call.To)
		w.send(n, to, call.Request, func() {
			grant := to.lender.Handle(w.now, call.Request)
			receive := n.borrower.Receive
			w.send(to, n, grant, func() { receive(w.now, grant) })
		})
	}
	for _, call := range n.lender.Next(w.now) {
		to := w.node(call.To)
		if w.fault == faultNoKeepers {
			n.lender.Receive(w.now, grantAll(call))
			continue
		}
		w.send(n, to, call.Request, func() {
			grant := to.keeper.Handle(w.now, call.Request)
			receive := n.lender.Receive
			w.send(to, n, grant, func() { receive(w.now, grant) })
		})
	}
	n.keeper.Forget(w.now)
}

// grantAll returns a grant of everything requested, without asking a keeper.
func grantAll(call PartCall) PartGrant {
	grant := PartGrant{From: call.To, Seq: call.Request.Seq, RunParts: call.Request.AcquireRuns}
	for _, account := range call.Request.Acquire {
		grant.Parts = append(grant.Parts, Part{Account: account})
	}
	return grant
}

// run advances the simulation by d, or until a bound is violated.
func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.violation == nil; {
		w.step()
	}
}
