package scenarios

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/demo"
)

// loadRun is a set of callers that send requests repeatedly.
type loadRun struct {
	cancel context.CancelFunc
	ended  chan struct{}

	mu    sync.Mutex
	items []*outcome
}

// load starts streams=N callers, each of which sends rounds=N requests, or requests until finish if
// rounds=0. The requests are distributed round-robin, as by a load balancer, over the nodes that
// were ready at the last check. as=NAME sets the client account. With turns=N each caller holds
// conversations of N turns.
func (w *world) load(a *args) error {
	name := a.word(0)
	l := &loadRun{ended: make(chan struct{})}
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(w.ctx)
	caller := caller{
		w: w, l: l, name: name,
		at:     a.text("at", "any"),
		as:     a.text("as", ""),
		tokens: a.number("tokens", 64),
		max:    a.number("max", 24),
		rounds: a.number("rounds", 1),
		turns:  a.number("turns", 1),
		pause:  a.duration("pause", 0),
		header: w.headers(a),
	}
	w.loads[name] = l
	var wg sync.WaitGroup
	for i := range a.number("streams", 1) {
		wg.Go(func() { caller.run(ctx, i) })
	}
	w.wg.Go(func() {
		wg.Wait()
		close(l.ended)
	})
	if a.background {
		return nil
	}
	return w.awaitLoad(l, name)
}

func (w *world) awaitLoad(l *loadRun, name string) error {
	select {
	case <-l.ended:
		return nil
	case <-time.After(2 * awaitLimit):
		return fmt.Errorf("load %s is still running", name)
	}
}

// stopLoad stops loads and waits for their requests in flight.
func (w *world) stopLoad(a *args) error {
	for _, name := range a.words {
		l, ok := w.loads[name]
		if !ok {
			return fmt.Errorf("no load %q", name)
		}
		l.cancel()
		if err := w.awaitLoad(l, name); err != nil {
			return err
		}
	}
	return nil
}

// caller holds the options of the callers of a load.
type caller struct {
	w                          *world
	l                          *loadRun
	name                       string
	at                         string
	as                         string // client account; if empty, accounts are used in turn
	tokens, max, rounds, turns int
	pause                      time.Duration
	header                     http.Header
}

func (c *caller) run(ctx context.Context, i int) {
	var before *outcome
	for round := 0; (c.rounds == 0 || round < c.rounds) && ctx.Err() == nil; round++ {
		o := &outcome{
			name:    fmt.Sprintf("%s/%d/%d", c.name, i, round),
			account: demo.Accounts[i%len(demo.Accounts)],
			max:     c.max, isRun: true, offset: -1, done: make(chan struct{}),
		}
		if c.as != "" {
			o.account = c.as
		}
		if before != nil && before.complete && round%c.turns != 0 {
			o.prompt = before.prompt + before.text + " And then, " + o.name + "?"
		} else {
			o.prompt = longPrompt(o.name, c.tokens)
		}
		before = o
		c.ask(ctx, o)
		if !sleep(ctx, c.pause) {
			return
		}
	}
}

// ask sends one prompt. If the connection can't be established, so that nothing was sent, it is
// sent to the next node, as by a load balancer.
func (c *caller) ask(ctx context.Context, o *outcome) {
	defer close(o.done)
	for ctx.Err() == nil {
		if o.entry = c.w.balance(c.at); o.entry != nil {
			break
		}
		sleep(ctx, pollEvery)
	}
	if o.entry == nil {
		return
	}
	c.l.add(o)
	for {
		c.w.complete(c.w.ctx, o, demo.Model, true, c.header)
		if !o.notSent {
			break
		}
		o.entry.inService.Store(false)
		next := c.w.balance(c.at)
		if next == nil {
			break
		}
		o.entry, o.notSent, o.message = next, false, ""
	}
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.w.all = append(c.w.all, o)
}

func (l *loadRun) add(o *outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, o)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// balance returns the next ready node among those that at selects, or nil.
func (w *world) balance(at string) *nodeProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range w.order {
		w.lastNode++
		n := w.order[w.lastNode%len(w.order)]
		if matchesNode(at, n.id) && n.inService.Load() {
			return n
		}
	}
	return nil
}

// matchesNode reports whether the value of an option at selects a node: any, n1,n2 or not:n1,n2.
func matchesNode(at, id string) bool {
	others, isNot := strings.CutPrefix(at, "not:")
	if isNot {
		return !matchesNode(others, id)
	}
	return at == "any" || strings.Contains(","+at+",", ","+id+",")
}
