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

// The property tests use a fixed seed unless a flag sets another one.
func init() { flag.Set("rapid.seed", "1") }

var key = ticket.Key(bytes.Repeat([]byte{7}, ticket.MinKeyBytes))

func config(self ticket.Incarnation) ticket.Config {
	return ticket.Config{
		Self: self, Key: key, Window: 64, MaxAnswersPerAccount: 16, MaxAnswerBytes: 1 << 20,
		AnswerTTL: time.Minute, AdoptedTTL: time.Hour, RunAfterDeadline: 10 * time.Second,
	}
}

// fault is a deliberate defect that the invariant checks must detect.
type fault int

const (
	faultNone              fault = iota
	faultReuseIncarnation        // a restart loses the window but keeps the incarnation
	faultRetryElsewhere          // after a lost answer the call runs again, bypassing the executor
	faultReaddressHandover       // a node accepts a handover to another incarnation
)

// cluster simulates nodes in front of one service, and the callers with their
// tickets. It runs in a synctest bubble; pick makes the random choices.
type cluster struct {
	injectedFault fault
	pick          func(n int) int
	startCount    uint64
	nodes         []*process
	tickets       []*issuedTicket
	handovers     []*ticket.Handover

	mu         sync.Mutex // protects the state that in-flight calls modify
	violations []string
}

// newPick returns a separate random source for one call, so that concurrent calls
// do not affect each other's choices.
func (c *cluster) newPick() func(int) int {
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

type issuedTicket struct {
	text       string
	attempts   int
	executions int
	notRun     bool // the caller received not_run and does not retry
}

func newCluster(injectedFault fault, pick func(int) int) *cluster {
	c := &cluster{injectedFault: injectedFault, pick: pick}
	for i := range 3 {
		c.nodes = append(c.nodes, nil)
		c.start(i)
	}
	return c
}

func (c *cluster) start(i int) {
	c.startCount++
	run := c.startCount
	if c.injectedFault == faultReuseIncarnation {
		run = 1
	}
	self := ticket.Incarnation{Node: strconv.Itoa(i), Number: run}
	exec, err := ticket.New(config(self))
	c.check(err == nil, "new: %v", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[i] != nil {
		c.nodes[i].dead.Store(true)
	}
	c.nodes[i] = &process{self: self, exec: exec}
	if c.injectedFault == faultReuseIncarnation {
		exec.Issue("acme", 32) // so that the serials of earlier tickets count as issued again
	}
}

func (c *cluster) check(ok bool, format string, args ...any) {
	if !ok {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

func (c *cluster) currentNodes() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.nodes)
}

// recordAttempt counts an attempt and returns its call. ok is false if the caller
// no longer uses the ticket because it received not_run.
func (c *cluster) recordAttempt(ticketIndex int) (call ticket.Call, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tickets[ticketIndex]
	t.attempts++
	return ticket.Call{Ticket: t.text, Account: "acme", FirstAttempt: t.attempts == 1}, !t.notRun
}

func (c *cluster) redeem(i, ticketIndex int) {
	p, t := c.nodes[i], c.tickets[ticketIndex]
	call, ok := c.recordAttempt(ticketIndex)
	if !ok {
		return
	}
	pick := c.newPick()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+pick(8))*time.Second)
		defer cancel()
		lookup := func(inc ticket.Incarnation) ticket.Presence { return c.lookup(pick, inc) }
		r := ticket.Redeemer{Executor: p.exec, Lookup: lookup, Forwarder: faultyLink{c, pick, ticketIndex}}
		answer, err := r.Redeem(ctx, call, c.run(p, pick, ticketIndex))
		if !p.dead.Load() {
			c.checkAnswer(t, ticketIndex, call.FirstAttempt, answer, err)
		}
	}()
}

// checkAnswer checks an answer or error against the executions that the service
// counted.
func (c *cluster) checkAnswer(t *issuedTicket, ticketIndex int, first bool, answer ticket.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := &ticket.Error{}
	final := errors.As(err, &e) && e.Final
	switch ticket.StateOf(err) {
	case ticket.Ran:
		c.check(t.executions == 1, "ticket %d: ran, with %d executions", ticketIndex, t.executions)
		c.check(err != nil || string(answer) == strconv.Itoa(ticketIndex), "ticket %d: answer %q", ticketIndex, answer)
	case ticket.NotRun:
		c.check(first || final, "ticket %d: non-final not_run for a retry: %v", ticketIndex, err)
		if final || t.attempts == 1 {
			c.check(t.executions == 0, "ticket %d: not_run, with %d executions", ticketIndex, t.executions)
			t.notRun = true
		}
	}
}

// drain drains p, with to as its successor, for at most the given time, and stores
// the handover record.
func (c *cluster) drain(p, to *process, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	h, err := p.exec.Drain(ctx, to.self)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && !p.dead.Load() {
		c.handovers = append(c.handovers, h)
	}
}

// deliverHandover delivers a random handover record, possibly late or repeated,
// to the given node, which need not be its receiver.
func (c *cluster) deliverHandover(to int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.handovers) == 0 {
		return
	}
	record := *c.handovers[c.pick(len(c.handovers))]
	if c.injectedFault == faultReaddressHandover {
		record.To = c.nodes[to].self
	}
	c.nodes[to].exec.Adopt(&record)
}

func (c *cluster) addTicket(t *issuedTicket) {
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
			c.addTicket(&issuedTicket{text: text})
		}
	case 2:
		c.start(i)
	case 3:
		if i != j {
			go c.drain(c.nodes[i], c.nodes[j], time.Duration(c.pick(5))*time.Second)
		}
	case 4, 5:
		c.deliverHandover(j)
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

// waitForCalls waits until all calls, delayed duplicates and drains have ended.
func (c *cluster) waitForCalls() {
	time.Sleep(time.Hour)
	synctest.Wait()
}
