package claim_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/coord/claim"
)

// engine is an endpoint whose state is the loaded weight version.
type engine struct {
	mu            sync.Mutex
	fence         *claim.Fence // nil if the engine ignores tokens
	version       int
	orders        int
	stale         int
	lostResponses int           // number of responses to lose after the order took effect
	effectDelay   time.Duration // delay from the response to the effect, for one order
}

func (g *engine) loadedVersion() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

func (g *engine) Observe(context.Context) (int, error) { return g.loadedVersion(), nil }

func (g *engine) Order(_ context.Context, token int64, version int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orders++
	if g.fence != nil {
		if err := g.fence.Check("engine", token); err != nil {
			g.stale++
			return err
		}
	}
	if g.effectDelay > 0 {
		delay := g.effectDelay
		g.effectDelay = 0
		time.AfterFunc(delay, func() { g.set(version) })
		return errors.New("timeout")
	}
	g.version = version
	if g.lostResponses > 0 {
		g.lostResponses--
		return errors.New("response lost")
	}
	return nil
}

func (g *engine) set(version int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version = version
}

func (g *engine) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version = 0
	if g.fence != nil {
		g.fence = &claim.Fence{}
	}
}

// pausingEndpoint is a node's connection to the engine. The node is paused between checking its
// claim and sending its first order.
type pausingEndpoint struct {
	*engine
	pause time.Duration
}

func (p *pausingEndpoint) Order(ctx context.Context, token int64, version int) error {
	pause := p.pause
	p.pause = 0
	time.Sleep(pause)
	return p.engine.Order(ctx, token, version)
}

// desiredVersion is the version in the newest configuration that a node has received.
type desiredVersion struct {
	mu      sync.Mutex
	version int
}

func (d *desiredVersion) get() (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.version != 0
}

func (d *desiredVersion) set(version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = version
}

func planVersion(desired, observed int) (int, bool) { return desired, desired != observed }

// TestReconcilerFaults checks that the endpoint reaches the desired configuration despite lost
// responses, delayed effects, restarts and a holder that sends an order after its claim
// expired.
func TestReconcilerFaults(t *testing.T) {
	tests := map[string]struct {
		ignoresTokens   bool
		pause           time.Duration // of the first node
		lostResponses   int
		effectDelay     time.Duration
		restart         bool
		stale           int // orders rejected by the fence
		orders          int // orders sent in total
		convergenceTime time.Duration
	}{
		"no fault":                                          {orders: 2, convergenceTime: 3 * time.Second},
		"response lost after its effect":                    {lostResponses: 1, orders: 2, convergenceTime: 8 * time.Second},
		"effect long after the response":                    {ignoresTokens: true, effectDelay: 4 * time.Second, orders: 2, convergenceTime: 8 * time.Second},
		"endpoint restarted after the second configuration": {restart: true, orders: 3, convergenceTime: 3 * time.Second},
		"paused holder, endpoint checks tokens":             {pause: time.Minute, stale: 1, orders: 2, convergenceTime: 3 * time.Second},
		"paused holder, endpoint ignores tokens":            {ignoresTokens: true, pause: time.Minute, orders: 3, convergenceTime: 3 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &engine{lostResponses: tc.lostResponses, effectDelay: tc.effectDelay}
				if !tc.ignoresTokens {
					g.fence = &claim.Fence{}
				}
				log := &memLog{}
				start := time.Now()
				ctx, stop := context.WithCancel(t.Context())
				var nodes sync.WaitGroup
				run := func(name string, d *desiredVersion, e claim.Endpoint[int, int]) {
					r := &claim.Reconciler[int, int]{
						Claimer: newClaimer(t, log, name), Resource: "engine", TTL: ttl, Endpoint: e,
						Desired: d.get, Plan: planVersion, Interval: time.Second, MaxEffectDelay: 5 * time.Second,
					}
					nodes.Go(func() { r.Run(ctx) })
				}
				a, b := &desiredVersion{version: 1}, &desiredVersion{}
				run("a", a, &pausingEndpoint{g, tc.pause})
				synctest.Wait()
				run("b", b, g)
				time.Sleep(tc.convergenceTime)
				if tc.pause == 0 {
					test.Eq(t, 1, g.loadedVersion(), test.Sprint("first configuration"))
				}
				b.set(2) // a receives the new configuration unless it is paused
				if tc.pause == 0 {
					a.set(2)
				}
				time.Sleep(ttl + 5*time.Second) // a's claim expires
				test.Eq(t, 2, g.loadedVersion(), test.Sprint("new configuration"))
				a.set(2)
				if tc.restart {
					g.restart()
				}
				time.Sleep(time.Until(start.Add(tc.pause))) // a sends its late order now
				time.Sleep(tc.convergenceTime)
				test.Eq(t, 2, g.loadedVersion(), test.Sprint("after the late order"))
				stop()
				nodes.Wait()
				test.Eq(t, tc.stale, g.stale)
				test.Eq(t, tc.orders, g.orders)
			})
		})
	}
}

func TestDecideWaitsForUncertainOrders(t *testing.T) {
	pending := claim.Pending{Uncertain: true, Until: 9}
	steps := []struct {
		desired, observed int
		now               time.Duration
		want              claim.Step
	}{
		{1, 1, 5, claim.NoOrder},
		{1, 0, 5, claim.Wait},
		{1, 0, 9, claim.SendOrder},
	}
	for _, s := range steps {
		step, order := claim.Decide(planVersion, s.desired, s.observed, pending, s.now)
		test.Eq(t, s.want, step)
		test.Eq(t, s.desired, order)
	}
}
