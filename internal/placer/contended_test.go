package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/routing"
)

// contended is a fixture with virtual time whose configuration states slots and memory.
type contended struct {
	*fixture
	slots, memory int // of each engine
	stated        int // slots that the configuration states
	now           time.Time
}

// newContended returns a fixture with the given number of engines in each failure domain, of which
// north is the node's own. The loads of all other domains are reported.
func newContended(t *testing.T, slots, memory int, engines map[string]int) *contended {
	t.Helper()
	c := &contended{fixture: newFixture(t, fakeEvents{}), slots: slots, stated: slots, memory: memory, now: time.Now()}
	c.Now = func() time.Time { return c.now }
	c.Random = rand.New(rand.NewPCG(1, 2)).Float64
	c.FullMesh = func() bool { return len(engines) == 1 }
	number := 0
	for domain, count := range engines {
		for i := range count {
			number++
			c.Fleet.Update(&fleet.Endpoint{
				ID: fmt.Sprint(domain, i), Service: "s", Addr: addr(number), Domain: domain, Slots: slots,
				Weights: []fleet.Weights{{Model: model, Version: 1}},
			}, c.now)
		}
		if domain != "north" {
			must.NoError(t, c.PeerLoads.RecordDomainLoad(&peerload.DomainLoad{Node: "n", Domain: domain, Incarnation: 1, Seq: 1}, c.now))
		}
	}
	return c
}

// run adds requests of the given size to the engines whose ID begins with the prefix.
func (c *contended) run(prefix string, requests, tokens int) {
	for _, m := range c.Fleet.Members("s") {
		for range requests {
			if len(m.ID) >= len(prefix) && m.ID[:len(prefix)] == prefix {
				m.Load.Begin(0, tokens)
			}
		}
	}
}

// prompt returns the query for a prompt of one part.
func (c *contended) prompt(priority, tokens, output int) *forward.Query {
	return &forward.Query{
		Route:      &routing.Route{Priority: priority, Objective: 800 * time.Millisecond, GapObjective: 300 * time.Millisecond},
		Service:    &routing.Service{Name: "s", Engine: &routing.Engine{Slots: c.stated, KVTokens: c.memory, TokenBytes: 18_432}},
		Attributes: &forward.Attributes{Model: model, PromptTokens: tokens, OutputTokens: output, Deadline: 10 * time.Second, HasDeadline: true},
	}
}

// arrive has prompts of a priority arrive at the given rate for ten seconds. The less urgent ones are
// larger, and none stays at its engine.
func (c *contended) arrive(t *testing.T, priority, perSecond int) {
	t.Helper()
	for range 10 * perSecond {
		c.now = c.now.Add(time.Second / time.Duration(perSecond))
		if _, ok := c.Place(c.prompt(priority, 300+900*priority, 20)); !ok {
			t.Fatal("a prompt of the load before the test was refused")
		}
	}
}
