package placer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/peerload"
)

// playedClass is the load of one class of prompts at each engine.
type playedClass struct {
	priority, prompt, output int
	perSecond                float64
	reading, decoding        time.Duration // of a prompt whose shared part the engine has
	objective                time.Duration
}

// firstDeployment is the load of the first deployment in docs/design/contended-engines.md while 23 of
// its 90 engines are down. secondDeployment is that of the second one.
var (
	firstDeployment = []playedClass{
		{priority: 2, prompt: 11_992, output: 380, perSecond: 2.85, reading: 20 * time.Millisecond, decoding: 2300 * time.Millisecond, objective: 800 * time.Millisecond},
		{priority: 0, prompt: 827, output: 290, perSecond: 4, reading: 2 * time.Millisecond, decoding: 1700 * time.Millisecond, objective: 250 * time.Millisecond},
		{priority: 1, prompt: 2368, output: 22, perSecond: 6.3, reading: 4 * time.Millisecond, decoding: 160 * time.Millisecond, objective: 300 * time.Millisecond},
	}
	secondDeployment = []playedClass{
		{priority: 2, prompt: 11_992, output: 384, perSecond: 1.75, reading: 46 * time.Millisecond, decoding: 1900 * time.Millisecond, objective: time.Second},
		{priority: 0, prompt: 827, output: 288, perSecond: 2.95, reading: 3 * time.Millisecond, decoding: 1500 * time.Millisecond, objective: 400 * time.Millisecond},
		{priority: 1, prompt: 2368, output: 24, perSecond: 2.6, reading: 8 * time.Millisecond, decoding: 160 * time.Millisecond, objective: 500 * time.Millisecond},
	}
)

const (
	playedEngines = 10
	playedNodes   = 6
	playedLength  = 12 * time.Second
	// reportInterval and reportDelay give reported loads the age that they have where nodes notify one
	// another of placements.
	reportInterval = 8 * time.Millisecond
	reportDelay    = 3 * time.Millisecond
	playedFirst    = 20 * time.Millisecond // from the end of reading until the first event
	playedPause    = 300 * time.Millisecond
)

// play is a load played against the placers of several nodes in virtual time.
type play struct {
	start, now time.Time
	random     *rand.Rand
	events     playEvents
	order      int
	nodes      []*contended
	engines    map[string]*playEngine
	slots      int
	// By priority: callers, first events within the objective without a long pause later, and first
	// events before the caller gave up.
	callers, inTime, served  [3]int
	byReason                 map[string]int
	preempted                int
	meanRequests, mostAtOnce float64 // over samples: requests per engine, and at the fullest one
}

// playCall is a caller's prompt.
type playCall struct {
	class        *playedClass
	node         *contended
	began, tried time.Time // when the caller's first and present try began
	placement    forward.Placement
	sent         time.Time
	run          playRun
}

// playLoad plays classes with their rates multiplied by load. The engines have the given slots and
// memory, and the configuration states the slots or not.
func playLoad(t *testing.T, classes []playedClass, load float64, slots, memory int, stated bool) *play {
	t.Helper()
	p := &play{start: time.Now(), random: rand.New(rand.NewPCG(7, 8)), engines: make(map[string]*playEngine), byReason: make(map[string]int), slots: slots}
	p.now = p.start
	for i := range playedNodes {
		c := newContended(t, slots, memory, map[string]int{"north": playedEngines})
		if !stated {
			c.stated = 0
		}
		c.Now = func() time.Time { return p.now }
		c.Random = rand.New(rand.NewPCG(9, uint64(i))).Float64
		c.Placer.Nodes = func() int { return playedNodes }
		p.nodes = append(p.nodes, c)
		p.report(i, 1)
	}
	for _, m := range p.nodes[0].Fleet.Members("s") {
		p.engines[m.ID] = &playEngine{play: p}
	}
	for i := range classes {
		p.arrivals(&classes[i], classes[i].perSecond*load*playedEngines)
	}
	p.sample()
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(playEvent)
		p.now = e.at
		e.run()
	}
	return p
}

// isOver reports whether callers no longer arrive.
func (p *play) isOver() bool { return p.now.Sub(p.start) > playedLength }

func (p *play) after(d time.Duration, run func()) {
	p.order++
	heap.Push(&p.events, playEvent{p.now.Add(d), p.order, run})
}

func (p *play) arrivals(class *playedClass, perSecond float64) {
	p.after(time.Duration(p.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if p.isOver() {
			return
		}
		p.callers[class.priority]++
		p.place(&playCall{class: class, node: p.nodes[p.random.IntN(playedNodes)], began: p.now, tried: p.now})
		p.arrivals(class, perSecond)
	})
}

// report sends the loads of a node to the others, again and again.
func (p *play) report(node int, seq int64) {
	if p.isOver() {
		return
	}
	d := peerload.Digest{Node: fmt.Sprint("n", node), Incarnation: 1, Seq: seq}
	for _, m := range p.nodes[node].Fleet.Members("s") {
		if l := m.Load; l.Running() > 0 {
			d.Loads = append(d.Loads, peerload.Load{Endpoint: m.ID, Running: l.Running(), PendingPromptTokens: l.PendingPromptTokens(), HeldTokens: l.HeldTokens()})
		}
	}
	p.after(reportDelay, func() {
		for i, other := range p.nodes {
			if i != node {
				other.PeerLoads.Record(d, p.now)
			}
		}
	})
	p.after(reportInterval, func() { p.report(node, seq+1) })
}

// sample adds the engines' requests to the means, four times a second.
func (p *play) sample() {
	const perSecond = 4
	p.after(time.Second/perSecond, func() {
		if p.isOver() {
			return
		}
		sum, most := 0, 0
		for _, e := range p.engines {
			requests := len(e.running) + len(e.waiting)
			sum, most = sum+requests, max(most, requests)
		}
		samples := perSecond * playedLength.Seconds()
		p.meanRequests += float64(sum) / playedEngines / samples
		p.mostAtOnce += float64(most) / samples
		p.sample()
	})
}

// place places a prompt, has it wait, or refuses it. A refused caller retries once.
func (p *play) place(call *playCall) {
	q := call.node.prompt(call.class.priority, call.class.prompt, call.class.output)
	q.Route.Objective = call.class.objective
	q.Age = call.tried.Sub(call.began)
	q.Attributes.Deadline -= q.Age
	placement, ok := call.node.Place(q)
	if !ok {
		placement.Waited = p.now.Sub(call.tried)
		p.waitOrRefuse(call, &placement)
		return
	}
	call.placement, call.sent = placement, p.now
	placement.Member.Load.Begin(placement.PrefillTokens, placement.MemoryTokens)
	p.engines[placement.Member.ID].send(call)
}

func (p *play) waitOrRefuse(call *playCall, placement *forward.Placement) {
	if pause := placement.RetryDelay(call.class.objective); pause > 0 {
		p.after(pause, func() { p.place(call) })
		return
	}
	p.byReason[placement.Reason]++
	after := placement.OnRefusal()
	if call.tried.Equal(call.began) {
		p.after(after, func() {
			call.tried = p.now
			p.place(call)
		})
	}
}

// share returns the share of all callers in a count by priority.
func (p *play) share(count [3]int) float64 {
	return float64(count[0]+count[1]+count[2]) / float64(p.callers[0]+p.callers[1]+p.callers[2])
}

func (p *play) String() string {
	return fmt.Sprintf("by priority: callers %v in time %v served %v; refused %v; preempted %d; requests at an engine %.1f, at the fullest %.1f",
		p.callers, p.inTime, p.served, p.byReason, p.preempted, p.meanRequests, p.mostAtOnce)
}

type playEvent struct {
	at    time.Time
	order int
	run   func()
}

// playEvents is a heap of events with the earliest first.
type playEvents []playEvent

var _ heap.Interface = (*playEvents)(nil)

// Len implements heap.Interface.
func (q playEvents) Len() int { return len(q) }

// Less implements heap.Interface.
func (q playEvents) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}

// Swap implements heap.Interface.
func (q playEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *playEvents) Push(x any) { *q = append(*q, x.(playEvent)) }

// Pop implements heap.Interface.
func (q *playEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
