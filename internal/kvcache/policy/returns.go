// Package policy estimates the value of KV cache blocks: how likely a conversation
// is continued, whether exporting a block is worth its cost on the link, and which blocks
// a full store evicts first.
//
// Callers pass in the time and the package does no I/O. Its decisions affect cost
// only, not correctness.
package policy

import (
	"math"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Gaps between the turns of a conversation are counted in buckets of doubling width,
// from one second to half a year.
const (
	firstGap       = time.Second
	gapBuckets     = 24
	returnHalfLife = 14 * 24 * time.Hour
	returnAccounts = 4096 // client accounts kept in memory

	globalPriorTurns  = 4.0  // weight of the prior, in turns, in the estimate for all accounts
	priorReturn       = 0.5  // probability of a continuation assumed without observations
	priorFirst        = 4    // first bucket of the prior, gaps up to 16 s
	priorLast         = 18   // last bucket of the prior, gaps up to 3 days
	accountPriorTurns = 8.0  // weight, in turns, of the estimate for all accounts in one account's estimate
	minSurvival       = 1e-3 // lower bound of the probability of a gap longer than the idle time, which is a divisor
)

// Returns estimates, for each client account, the distribution of the time from the
// end of a turn to the conversation's next turn, and the share of conversations that
// are not continued. The weight of observations halves every two weeks. A turn
// contributes only to the estimates of gaps shorter than its age, so that a newly
// started node does not underestimate the share of long gaps. Safe for concurrent use.
type Returns struct {
	mu       sync.Mutex
	all      *gapHistogram
	accounts *simplelru.LRU[string, *gapHistogram]
}

// NewReturns returns an estimator that has only its prior.
func NewReturns() *Returns {
	accounts, err := simplelru.NewLRU[string, *gapHistogram](returnAccounts, nil)
	if err != nil {
		panic(err) // the capacity is a positive constant
	}
	return &Returns{all: &gapHistogram{}, accounts: accounts}
}

// ObserveTurn records that a turn of one of the account's conversations ended at
// now.
func (r *Returns) ObserveTurn(account string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range []*gapHistogram{r.all, r.account(account)} {
		h.advance(now)
		h.ages[0]++
	}
}

// ObserveReturn records that a conversation was continued at now, gap after the end of
// its last turn.
func (r *Returns) ObserveReturn(account string, gap time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range []*gapHistogram{r.all, r.account(account)} {
		h.advance(now)
		h.returns[bucketOf(gap)]++
	}
}

// Chance returns the probability, 0 to 1, that a conversation that has been idle for
// the given time is continued with a gap in [from, to), measured from the end of its last
// turn.
func (r *Returns) Chance(account string, now time.Time, idle, from, to time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.account(account)
	r.all.advance(now)
	h.advance(now)
	distribution := h.gapDistribution(r.all.gapDistribution(prior(), globalPriorTurns), accountPriorTurns)
	survival := 1 - probabilityBetween(distribution, 0, idle)
	return clampProbability(probabilityBetween(distribution, max(from, idle), to) / max(survival, minSurvival))
}

func (r *Returns) account(account string) *gapHistogram {
	h, ok := r.accounts.Get(account)
	if !ok {
		h = &gapHistogram{}
		r.accounts.Add(account, h)
	}
	return h
}

// gapHistogram counts turns by their current age and continuations by their gap.
type gapHistogram struct {
	at      time.Time
	ages    [gapBuckets]float64
	returns [gapBuckets]float64
}

// advance ages the turns to now and decays all counts. Turns are assumed to be
// spread evenly over a bucket, so the share that moves to the next bucket is the
// elapsed time divided by the bucket's width.
func (h *gapHistogram) advance(now time.Time) {
	if h.at.IsZero() {
		h.at = now
	}
	passed := now.Sub(h.at)
	if passed <= 0 {
		return
	}
	h.at = now
	decay := math.Exp2(-passed.Hours() / returnHalfLife.Hours())
	for b := range gapBuckets {
		h.ages[b] *= decay
		h.returns[b] *= decay
	}
	for b := range gapBuckets - 1 {
		moved := h.ages[b] * min(1, passed.Seconds()/(bucketEnd(b)-bucketStart(b)))
		h.ages[b] -= moved
		h.ages[b+1] += moved
	}
}

// gapDistribution returns for each bucket the share of turns that were continued with a
// gap in it, among the turns old enough for such a gap. The result is smoothed with the
// prior, weighted as the given number of turns.
func (h *gapHistogram) gapDistribution(prior [gapBuckets]float64, weight float64) [gapBuckets]float64 {
	var out [gapBuckets]float64
	older := 0.0
	for b := gapBuckets - 1; b >= 0; b-- {
		older += h.ages[b]
		eligible := max(older, h.returns[b])
		out[b] = (h.returns[b] + weight*prior[b]) / (eligible + weight)
	}
	return out
}

func prior() [gapBuckets]float64 {
	var out [gapBuckets]float64
	for b := priorFirst; b <= priorLast; b++ {
		out[b] = priorReturn / (priorLast - priorFirst + 1)
	}
	return out
}

// probabilityBetween returns the probability of a gap between from and to.
func probabilityBetween(distribution [gapBuckets]float64, from, to time.Duration) float64 {
	sum := 0.0
	for b, p := range distribution {
		start, end := bucketStart(b), bucketEnd(b)
		overlap := min(end, to.Seconds()) - max(start, from.Seconds())
		if overlap > 0 {
			sum += p * overlap / (end - start)
		}
	}
	return clampProbability(sum)
}

func bucketOf(gap time.Duration) int {
	if gap < firstGap {
		return 0
	}
	return min(gapBuckets-1, 1+int(math.Log2(gap.Seconds()/firstGap.Seconds())))
}

func bucketStart(b int) float64 {
	if b == 0 {
		return 0
	}
	return firstGap.Seconds() * math.Exp2(float64(b-1))
}

func bucketEnd(b int) float64 { return firstGap.Seconds() * math.Exp2(float64(b)) }

func clampProbability(p float64) float64 { return min(1, max(0, p)) }
