package policybench

import (
	"time"

	"github.com/cherryward/cherryward/internal/enginestate"
	"github.com/cherryward/cherryward/internal/kvcache"
)

// gossip is the state of an engine as all entry nodes have received it by gossip, for policies that
// send no request for estimates to the owner. Cached blocks are as of one lag ago, and load estimates
// are at most that old. No event is lost. Requests that a node itself placed since then are not
// added: with many nodes they are a small part of the load.
type gossip struct {
	owner  *owner
	lag    time.Duration
	blocks map[string]struct{}
	loads  [accountCount]enginestate.Estimate
}

func newGossip(o *owner, lag time.Duration) *gossip {
	g := &gossip{owner: o, lag: lag, blocks: make(map[string]struct{})}
	o.engine.onChange = func(block string, removed bool) {
		o.s.after(lag, func() { g.applyEvent(block, removed) })
	}
	g.report()
	return g
}

func (g *gossip) applyEvent(block string, removed bool) {
	if removed {
		delete(g.blocks, block)
		return
	}
	g.blocks[block] = struct{}{}
}

// report updates the estimates with those of the owner, by account, once per lag.
func (g *gossip) report() {
	s := g.owner.s
	for i := range g.loads {
		g.loads[i] = g.owner.state.Estimate(s.now(), enginestate.Request{Model: model, Account: fairAccount(i)})
	}
	s.after(g.lag, g.report)
}

// cached returns the number of tokens of the turn's prompt that the engine caches according to
// gossip.
func (g *gossip) cached(t *turn) int {
	return prefixLength(t.promptBlocks(), g.holds) * blockTokens
}

func (g *gossip) holds(id string) bool {
	_, ok := g.blocks[id]
	return ok
}

// prefixLength returns the number of leading blocks for which has returns true.
func prefixLength(blocks []kvcache.Block, has func(id string) bool) int {
	for i := range blocks {
		if !has(blocks[i].ID) {
			return i
		}
	}
	return len(blocks)
}
