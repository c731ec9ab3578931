package placer

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/decay"
)

// placedHalfLife is the time in which the prompts that this node placed count half for how much it
// places: some ten of them, at a node of a large system.
const placedHalfLife = time.Second

// placed is how much this node places. Its zero value is ready for use, by several goroutines at once.
type placed struct {
	mu     sync.Mutex
	tokens decay.Rate
}

// note takes the tokens that a prompt has read.
func (p *placed) note(tokens int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens.Note(float64(tokens), placedHalfLife, now)
}

// perSecond returns the tokens that are to be read, of prompts that were placed in a second.
func (p *placed) perSecond(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokens.At(placedHalfLife, now)
}

// addUnseen adds to the engines' costs what other nodes are likely to have sent there since they
// told: an engine that has become the least busy, as it is new, back or has just loaded weights,
// looks so to all of them at the same time. They fill the least busy engines up to a level, each
// drawing by itself: with what is expected added to all alike, they would all choose the same one.
func (s *search) addUnseen(costs []scored) {
	amount := s.unseenMs() * float64(len(costs)) / float64(max(s.among, 1))
	if amount <= 0 {
		return
	}
	waits := make([]float64, len(costs))
	for i, c := range costs {
		waits[i] = s.plan(c.member).waitMs + s.rollout.cost(c.member)
	}
	level := fillLevel(waits, amount)
	for i := range costs {
		if lacking := level - waits[i]; lacking > 0 {
			costs[i].cost -= lacking * math.Log(1-s.Random())
		}
	}
}

// unseenMs is the time, in ms, that engines take to read what other nodes have placed but not told.
func (s *search) unseenMs() float64 {
	if s.Unheard == nil {
		return 0
	}
	others, lag := s.Unheard()
	return s.service.placed.perSecond(s.now) * float64(others) * lag.Seconds() * s.figures.TokenMs
}

// fillLevel returns the level that an amount reaches which is filled into vessels that are filled so
// far already.
func fillLevel(filled []float64, amount float64) float64 {
	sorted := slices.Sorted(slices.Values(filled))
	sum := 0.0
	for i, at := range sorted {
		sum += at
		level := (amount + sum) / float64(i+1)
		if i+1 == len(sorted) || level <= sorted[i+1] {
			return level
		}
	}
	return 0
}
