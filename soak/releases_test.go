package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	maxStart     = 3 * time.Second         // until a node starts, or a release comes in when the system starts
	maxUntilLoss = 3 * time.Second         // after a step, until all nodes are killed
	maxStepGap   = 1500 * time.Millisecond // between steps
	longGap      = 90 * time.Second        // before some steps of long runs, until nodes have forgotten releases that left
	longGapOneIn = 8
	maxEarly     = 500 * time.Millisecond // after a node is cut off or suspended, until the step
	minApart     = 200 * time.Millisecond
	maxApart     = 5 * time.Second // for which a node is cut off or suspended
	resetTime    = 100 * time.Millisecond
	maxEvents    = 6 // after which a server breaks off streams
)

// What happens to nodes around a step.
const (
	undisturbed = iota
	oneCutOff
	oneSuspended
	killedAfter
	killedBefore
	killedWithoutStep
)

// arounds holds what happens to nodes around a step, each entry with the same probability.
var arounds = []int{undisturbed, oneCutOff, oneCutOff, oneCutOff, oneSuspended, oneSuspended, killedAfter, killedBefore, killedWithoutStep}

// What ends streams at a step.
const (
	notBroken = iota
	brokenByReset
	brokenByServers
	breakCount
)

// The share of a pool that comes in.
const (
	oneServer = iota
	half
	all
	shareCount
)

// releaseChanges changes the releases of the model servers' software in steps, from a random source of its own.
type releaseChanges struct {
	*world
	random  *rand.Rand
	only    bool    // there are no faults of other files
	orders  *orders // around the steps; nil if there are none
	pools   [][]int // the indices of the servers that come in and go out together
	serves  int     // pool that serves
	joining int     // pool of which servers have come in beside it; the same one if there is none
	steps   int
}

// releaseStep is a step and the faults around it.
type releaseStep struct {
	around, breaks, events   int
	share, place, pool, node int
	completes                bool // a pool that joins replaces the other one; otherwise it leaves
	early, apart, untilLoss  time.Duration
	cut                      linkFault
	gap                      time.Duration
	long                     bool            // the step waits until nodes have forgotten releases that left
	starts                   []time.Duration // delays of the nodes' starts
}

// below returns a random duration.
func (c *releaseChanges) below(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// startDelays returns the delays after which the nodes start.
func (c *releaseChanges) startDelays() (list []time.Duration) {
	for range c.nodes {
		list = append(list, c.below(maxStart))
	}
	return list
}

// draw returns a random step.
func (c *releaseChanges) draw() *releaseStep {
	r := c.random
	return &releaseStep{
		around: arounds[r.IntN(len(arounds))], breaks: r.IntN(breakCount), events: 1 + r.IntN(maxEvents),
		share: r.IntN(shareCount), place: r.IntN(targetRange), pool: 1 + r.IntN(len(c.pools)-1), node: r.IntN(len(c.nodes)),
		completes: r.IntN(shareCount) > 0, early: c.below(maxEarly), apart: minApart + c.below(maxApart-minApart), untilLoss: c.below(maxUntilLoss),
		cut: []linkFault{reset, dropAll, dropResponses}[r.IntN(3)], gap: c.below(maxStepGap), long: r.IntN(longGapOneIn) == 0, starts: c.startDelays(),
	}
}

// run changes releases for a time.
func (c *releaseChanges) run(length time.Duration) {
	for start := time.Now(); time.Since(start) < length; c.steps++ {
		s := c.draw()
		switch {
		case c.steps == 0: // while nodes start
			c.pause(s.starts[s.node])
		case s.long && length > 2*longGap:
			c.pause(longGap)
		default:
			c.pause(s.gap)
		}
		if c.orders != nil {
			c.order(c.orders.draw())
		}
		c.play(s)
	}
}

// begin takes the servers of one release of the shape out before the nodes start.
func (c *releaseChanges) begin() {
	c.serves = c.random.IntN(len(shapeReleases))
	c.joining = c.serves
	for _, i := range c.pools[1-c.serves] {
		c.leave(i)
	}
}

// play performs a step and the faults around it.
func (c *releaseChanges) play(s *releaseStep) {
	defer c.acting.open()()
	switch s.around {
	case undisturbed:
		c.move(s)
	case oneCutOff, oneSuspended:
		c.restarts.Go(func() { c.separate(s) }) // beside the steps that follow
		c.pause(s.early)
		c.move(s)
	default:
		c.loseNodes(s)
	}
}

// loseNodes kills all nodes after or before a step, or without one, and starts each after its delay.
func (c *releaseChanges) loseNodes(s *releaseStep) {
	if !c.reserveNodes() {
		return
	}
	if s.around == killedAfter {
		c.move(s)
		c.pause(s.untilLoss)
	}
	restart := c.killNodes()
	var wg sync.WaitGroup
	wg.Go(func() { restart(s.starts) })
	if s.around == killedBefore {
		c.pause(s.untilLoss) // nodes are away or start
		c.move(s)
	}
	wg.Wait()
}

// move brings servers of a pool in, or completes or undoes a change in progress, and breaks off streams.
func (c *releaseChanges) move(s *releaseStep) {
	switch {
	case c.joining == c.serves:
		c.joining = (c.serves + s.pool) % len(c.pools)
		for _, i := range s.chosenOf(c.pools[c.joining]) {
			c.comeIn(i)
		}
		if s.share != all || !s.completes {
			break
		}
		fallthrough // all at once
	case s.completes:
		c.replace(c.joining, c.serves)
	default:
		c.replace(c.serves, c.joining)
	}
	c.breakStreams(s)
}

// replace brings all servers of a pool in and takes those of another one out.
func (c *releaseChanges) replace(by, out int) {
	for _, i := range c.pools[by] {
		c.comeIn(i)
	}
	for _, i := range c.pools[out] {
		c.leave(i)
	}
	c.serves, c.joining = by, by
}

// chosenOf returns the share of a pool that comes in.
func (s *releaseStep) chosenOf(pool []int) []int {
	switch s.share {
	case oneServer:
		return pool[s.place%len(pool):][:1]
	case half:
		return pool[:(len(pool)+1)/2]
	}
	return pool
}
