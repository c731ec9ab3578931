package ticket_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/cherryward/cherryward/coord/ticket"
)

// The property runs with a fixed seed unless a flag asks for another.
func init() { flag.Set("rapid.seed", "1") }

var key = ticket.Key(bytes.Repeat([]byte{7}, ticket.KeyBytes))

func config(self ticket.Incarnation) ticket.Config {
	return ticket.Config{
		Self: self, Key: key, Window: 64, KeepAnswers: 16, KeepBytes: 1 << 20,
		KeepFor: time.Minute, AdoptFor: time.Hour, RunOn: 10 * time.Second,
	}
}

// fault is a deliberately broken variant that the invariants must catch.
type fault int

const (
	sound            fault = iota
	reuseIncarnation       // a restart forgets the window and keeps the incarnation
	retryElsewhere         // a lost answer is retried by the entry node itself
	readdress              // a restarted successor accepts the old handover
)

// cluster is a set of nodes before one service, with the callers' side of each
// ticket. It runs in a synctest bubble; pick chooses what happens.
type cluster struct {
	broken  fault
	pick    func(n int) int
	starts  uint64
	nodes   []*process
	tickets []*issued
	records []*ticket.Handover

	mu     sync.Mutex // guards what calls in flight write
	faults []string
}

// source returns a choice of its own for one call, so that calls in flight
// don't change each other's.
func (c *cluster) source() func(int) int {
	random := rand.New(rand.NewPCG(uint64(c.pick(1<<30)), 2))
	var mu sync.Mutex
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
}

type process struct {
	self ticket.Incarnation
	exec *ticket.Executor
	dead atomic.Bool
}

type issued struct {
	text       string
	presented  int
	executions int
	notRun     bool // the caller was told so and gave the ticket up
}

func newCluster(broken fault, pick func(int) int) *cluster {
	c := &cluster{broken: broken, pick: pick}
	for i := range 3 {
		c.nodes = append(c.nodes, nil)
		c.start(i)
	}
	return c
}

func (c *cluster) start(i int) {
	c.starts++
	run := c.starts
	if c.broken == reuseIncarnation {
		run = 1
	}
	self := ticket.Incarnation{Node: strconv.Itoa(i), Run: run}
	exec, err := ticket.New(config(self))
	c.check(err == nil, "new: %v", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[i] != nil {
		c.nodes[i].dead.Store(true)
	}
	c.nodes[i] = &process{self: self, exec: exec}
	if c.broken == reuseIncarnation {
		exec.Issue("acme", 32)
	}
}

func (c *cluster) check(ok bool, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, fmt.Sprintf(format, args...))
	}
}

func (c *cluster) view() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.nodes)
}

// present counts a caller's attempt, unless it gave the ticket up.
func (c *cluster) present(k int) (call ticket.Call, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tickets[k]
	t.presented++
	return ticket.Call{Ticket: t.text, Account: "acme", First: t.presented == 1}, !t.notRun
}

func (c *cluster) redeem(i, k int) {
	p, t := c.nodes[i], c.tickets[k]
	call, ok := c.present(k)
	if !ok {
		return
	}
	pick := c.source()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+pick(8))*time.Second)
		defer cancel()
		lookup := func(inc ticket.Incarnation) ticket.Presence { return c.lookup(pick, inc) }
		r := ticket.Redeemer{Executor: p.exec, Lookup: lookup, Forwarder: link{c, pick, k}}
		answer, err := r.Redeem(ctx, call, c.run(p, pick, k))
		if !p.dead.Load() {
			c.judge(t, k, call.First, answer, err)
		}
	}()
}

// judge holds an answer against what the service saw.
func (c *cluster) judge(t *issued, k int, first bool, answer ticket.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := &ticket.Error{}
	final := errors.As(err, &e) && e.Final
	switch ticket.StateOf(err) {
	case ticket.Ran:
		c.check(t.executions == 1, "ticket %d: ran, with %d executions", k, t.executions)
		c.check(err != nil || string(answer) == strconv.Itoa(k), "ticket %d: answer %q", k, answer)
	case ticket.NotRun:
		c.check(first || final, "ticket %d: not_run without knowledge: %v", k, err)
		if final || t.presented == 1 {
			c.check(t.executions == 0, "ticket %d: not_run, with %d executions", k, t.executions)
			t.notRun = true
		}
	}
}

func (c *cluster) handOver(p, to *process, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	h, err := p.exec.Drain(ctx, to.self)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && !p.dead.Load() {
		c.records = append(c.records, h)
	}
}

// deliver brings any handover record to any node, late or again.
func (c *cluster) deliver(to int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.records) == 0 {
		return
	}
	record := *c.records[c.pick(len(c.records))]
	if c.broken == readdress {
		record.To = c.nodes[to].self
	}
	c.nodes[to].exec.Adopt(&record)
}

func (c *cluster) add(t *issued) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = append(c.tickets, t)
}

func (c *cluster) step() {
	i, j := c.pick(3), c.pick(3)
	switch c.pick(12) {
	case 0, 1:
		batch, _ := c.nodes[i].exec.Issue("acme", 2)
		for _, text := range batch {
			c.add(&issued{text: text})
		}
	case 2:
		c.start(i)
	case 3:
		if i != j {
			go c.handOver(c.nodes[i], c.nodes[j], time.Duration(c.pick(5))*time.Second)
		}
	case 4, 5:
		c.deliver(j)
	case 6:
		time.Sleep(time.Duration(c.pick(6)) * time.Second)
	default:
		if len(c.tickets) == 0 {
			return
		}
		c.redeem(i, c.pick(len(c.tickets)))
	}
	synctest.Wait()
}

// settle lets all calls, delayed copies and drains end.
func (c *cluster) settle() {
	time.Sleep(time.Hour)
	synctest.Wait()
}
