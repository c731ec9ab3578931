package placer

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/decay"
)

// placedHalfLife is the half-life of this node's placement rate. A node of a large system places
// about ten prompts in this time.
const placedHalfLife = time.Second

// placedRate is the rate of prompt tokens that this node places for engines to read. The zero value
// is ready to use. It is safe for concurrent use.
type placedRate struct {
	mu     sync.Mutex
	tokens decay.Rate
}

// add adds the tokens that the engine must read for a placed prompt.
func (p *placedRate) add(tokens int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens.Add(float64(tokens), placedHalfLife, now)
}

// perSecond returns how many tokens per second the prompts placed by this node add for engines to
// read.
func (p *placedRate) perSecond(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokens.At(placedHalfLife, now)
}

// addUnreported adds to the engines' costs the prompts that other nodes have probably placed there
// since their last load reports. An engine with the lowest load, because it is new, restarted or
// has just loaded weights, has the lowest load in the view of all nodes. Together the nodes raise
// the least loaded engines to a common level. Each node draws the cost increase at random: if it
// added the expected value, all nodes would choose the same engine.
func (s *selection) addUnreported(costs []scored) {
	amount := s.unreportedMs() * float64(len(costs)) / float64(max(s.candidateCount, 1))
	if amount <= 0 {
		return
	}
	waits := make([]float64, len(costs))
	for i, c := range costs {
		waits[i] = s.plan(c.member).waitMs + s.rollout.cost(c.member)
	}
	level := fillLevel(waits, amount)
	for i := range costs {
		if missing := level - waits[i]; missing > 0 {
			costs[i].cost -= missing * math.Log(1-s.Random())
		}
	}
}

// unreportedMs returns the time, in ms, that engines take to read the prompts that other nodes have
// placed but not reported yet.
func (s *selection) unreportedMs() float64 {
	if s.ReportLag == nil {
		return 0
	}
	otherNodes, lag := s.ReportLag()
	return s.service.placed.perSecond(s.now) * float64(otherNodes) * lag.Seconds() * s.estimates.TokenMs
}

// fillLevel returns the common level to which the lowest values can be raised by adding the amount
// in total (water filling).
func fillLevel(values []float64, amount float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	sum := 0.0
	for i, current := range sorted {
		sum += current
		level := (amount + sum) / float64(i+1)
		if i+1 == len(sorted) || level <= sorted[i+1] {
			return level
		}
	}
	return 0
}
