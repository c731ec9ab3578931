package member

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// sim runs cores in virtual time, in one goroutine, over a simulated network
// that can lose messages and be partitioned.
type sim struct {
	now   time.Time
	rng   *rand.Rand
	queue eventQueue
	// order is the number of events scheduled so far.
	order  int
	nodes  []*simNode
	byAddr map[string]*simNode
	// lossRate is the probability that a message is lost.
	lossRate float64
	// blocked reports whether messages from a to b are lost. If it is nil, no
	// link is blocked.
	blocked func(a, b *simNode) bool
	// tamper, if not nil, may change each message before it is sent.
	tamper func(from, to *simNode, m *Message)
	// randomPeers makes nodes select peers at random in place of the ring.
	randomPeers bool
}

// simNode is one node of a sim. It keeps its entry when it restarts with a new
// core.
type simNode struct {
	index       int
	entry       RosterEntry
	core        *core
	up          bool
	upChangedAt time.Time
	// sentBytes and sentMessages count the traffic that the node sent.
	sentBytes    int
	sentMessages int
	// contactedAddrs contains the addresses to which the node sent requests.
	contactedAddrs map[string]bool
}

// event is a function scheduled for a virtual time. order breaks ties, in the
// order of scheduling.
type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

var (
	errLost  = errors.New("message lost")
	simStart = time.Unix(1_700_000_000, 0)
)

func newSim(n int, seed uint64) *sim {
	s := &sim{now: simStart, rng: rand.New(rand.NewPCG(seed, 1)), byAddr: make(map[string]*simNode)}
	for i := range n {
		s.nodes = append(s.nodes, &simNode{index: i, entry: RosterEntry{
			ID:     fmt.Sprintf("host-%04d", i),
			Addr:   fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
			Domain: fmt.Sprintf("domain-%02d", i%12),
		}})
		s.byAddr[s.nodes[i].entry.Addr] = s.nodes[i]
	}
	return s
}

// startNodes starts the given nodes with a roster of all nodes.
func (s *sim) startNodes(nodes ...*simNode) {
	roster := s.roster()
	for _, n := range nodes {
		s.startNode(n, roster)
	}
}

func (s *sim) roster() []RosterEntry {
	var roster []RosterEntry
	for _, n := range s.nodes {
		roster = append(roster, n.entry)
	}
	return roster
}

// startNode starts a node with a new core, and so with a new incarnation.
func (s *sim) startNode(n *simNode, roster []RosterEntry) {
	n.core = newCore(n.entry, s.rng.Uint64(), s.now)
	if s.randomPeers {
		n.core.topo = &randomTopology{rng: n.core.rng, self: n.core.self, members: []*record{n.core.self}}
	}
	n.core.setRoster(s.now, roster)
	n.up, n.upChangedAt = true, s.now
	n.contactedAddrs = make(map[string]bool)
	s.scheduleTicks(n, n.core, s.now.Add(jitter(s.rng, tickInterval)))
}

// scheduleTicks schedules the periodic ticks of a node until it stops or
// restarts.
func (s *sim) scheduleTicks(n *simNode, c *core, at time.Time) {
	s.at(at, func() {
		if !n.up || n.core != c {
			return
		}
		c.tick(s.now)
		s.sendQueued(n)
		s.scheduleTicks(n, c, at.Add(tickInterval))
	})
}

func (s *sim) crash(n *simNode) {
	n.up, n.upChangedAt = false, s.now
}

// at schedules run for time t.
func (s *sim) at(t time.Time, run func()) {
	s.order++
	heap.Push(&s.queue, event{at: t, order: s.order, run: run})
}

// run executes the events of the next d and advances the clock.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// sendQueued starts the exchanges that the core of the node has queued.
func (s *sim) sendQueued(n *simNode) {
	for _, ex := range n.core.takeOutbox() {
		s.exchange(n, n.core, ex)
	}
}

// exchange simulates a request and its response. A lost message is reported as
// a failure after exchangeTimeout.
func (s *sim) exchange(n *simNode, c *core, ex *exchange) {
	started := s.now
	fail := func() {
		s.at(started.Add(exchangeTimeout), func() { s.completeExchange(n, c, ex, nil, errLost) })
	}
	peer := s.byAddr[ex.addr]
	n.contactedAddrs[ex.addr] = true
	if !s.transmit(n, peer, ex.req) {
		fail()
		return
	}
	s.at(s.now.Add(s.latency()), func() {
		if !peer.up {
			fail()
			return
		}
		resp := peer.core.handleRequest(s.now, ex.req)
		s.sendQueued(peer)
		if !s.transmit(peer, n, resp) {
			fail()
			return
		}
		s.at(s.now.Add(s.latency()), func() { s.completeExchange(n, c, ex, resp, nil) })
	})
}

// completeExchange passes the outcome of an exchange, a response or an error, to
// the core, unless the node has stopped or restarted.
func (s *sim) completeExchange(n *simNode, c *core, ex *exchange, resp *Message, err error) {
	if n.up && n.core == c {
		c.completeExchange(s.now, ex, resp, err)
		s.sendQueued(n)
	}
}

// transmit applies tamper to a message, counts the message as sent and reports
// whether it arrives.
func (s *sim) transmit(from, to *simNode, m *Message) bool {
	if s.tamper != nil {
		s.tamper(from, to, m)
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	from.sentBytes += len(b)
	from.sentMessages++
	return to.up && s.rng.Float64() >= s.lossRate && !s.linkBlocked(from, to)
}

func (s *sim) linkBlocked(a, b *simNode) bool {
	return s.blocked != nil && s.blocked(a, b)
}

func (s *sim) latency() time.Duration {
	return time.Millisecond + jitter(s.rng, time.Millisecond)
}

// liveNodes returns the live nodes.
func (s *sim) liveNodes() []*simNode {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *simNode) bool { return !n.up })
}

// randomTopology selects peers at random among all members. TestMeasure
// compares the ring with it.
type randomTopology struct {
	rng     *rand.Rand
	self    *record
	members []*record
}

var _ topology = (*randomTopology)(nil)

func (t *randomTopology) add(r *record)    { t.members = append(t.members, r) }
func (t *randomTopology) remove(r *record) { t.members = withoutRecord(t.members, r) }
func (t *randomTopology) len() int         { return len(t.members) }

func (t *randomTopology) nextPeer() *record {
	if peers := t.selectPeers(1); len(peers) > 0 {
		return peers[0]
	}
	return nil
}

// selectPeers returns at most 16 distinct peers, about as many as the ring has.
func (t *randomTopology) selectPeers(n int) []*record {
	var peers []*record
	for range 4 * n {
		r := t.members[t.rng.IntN(len(t.members))]
		if len(peers) < min(n, 16) && r != t.self && !slices.Contains(peers, r) {
			peers = append(peers, r)
		}
	}
	return peers
}
