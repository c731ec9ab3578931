package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/coord/claim"
	"github.com/cherryward/cherryward/coord/retry"
)

// MaxLoads is the maximum number of concurrent loads through the weight store.
const MaxLoads = 2

// Names of the claimed resources.
const (
	slotResource   = "weights"
	endpointPrefix = "endpoint/"
	modelPrefix    = "model/"
)

const (
	// orderTimeout is the timeout of an order. uncheckedTimeout is that of an order to an engine that
	// does not check fencing tokens.
	orderTimeout     = 2 * time.Second
	uncheckedTimeout = time.Second
	// settleTime is the time after an order's timeout during which the order may still take effect.
	settleTime = 2 * time.Second
	// claimGrace is the delay before a claim that expired without a release can be acquired again.
	claimGrace = settleTime
	claimPoll  = 250 * time.Millisecond
	// acquireTimeout limits the wait for a claim. The next pass tries again.
	acquireTimeout = 2 * time.Second
	// releaseInterval is the time between two attempts to release a claim.
	releaseInterval = time.Second

	endpointTTL = 10 * time.Second
	// modelTTL covers the reads of all engines of the model, the drain and two orders.
	modelTTL = 20 * time.Second
	// slotTTL limits the duration of one load. A load that has not finished by then is cancelled.
	slotTTL = time.Minute
	// slotMargin is the time reserved for cancelling a load that takes too long.
	slotMargin = 2*orderTimeout + settleTime
)

// claimLog adapts a stream of the platform's log to claim.Log, and counts appends.
type claimLog struct {
	log     changelog.Log
	appends atomic.Int64
}

var _ claim.Log = (*claimLog)(nil)

// Append implements claim.Log.
func (l *claimLog) Append(ctx context.Context, data []byte) (int64, error) {
	l.appends.Add(1)
	return l.log.Append(ctx, data)
}

// Read implements claim.Log.
func (l *claimLog) Read(ctx context.Context, from int64, limit int) ([]claim.Record, int64, error) {
	batch, err := l.log.Read(ctx, from, limit)
	if err != nil {
		return nil, 0, err
	}
	next := max(from, batch.First)
	records := make([]claim.Record, 0, len(batch.Records))
	for _, r := range batch.Records {
		records = append(records, claim.Record{Offset: r.Offset, Data: r.Data})
		next = r.Offset + 1
	}
	return records, next, nil
}

func newClaimer(node string, log claim.Log) (*claim.Claimer, error) {
	return claim.New(claim.Config{
		Log:          log,
		Clock:        claim.NewSystemClock(),
		Holder:       node,
		OrderTimeout: orderTimeout,
		Grace:        claimGrace,
		MaxTTL:       slotTTL,
		Poll:         claimPoll,
		Random:       rand.Int64N,
	})
}

// lazyClaim is a claim that is acquired when first needed and released later.
type lazyClaim struct {
	claim  *claim.Claim
	obtain func(ctx context.Context) (*claim.Claim, error)
}

// valid reports whether the claim is valid for long enough for another order.
func (l *lazyClaim) valid() bool { return l.claim != nil && l.claim.Valid(orderTimeout) }

// acquire acquires the claim unless it is valid.
func (l *lazyClaim) acquire(ctx context.Context) error {
	if l.valid() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	c, err := l.obtain(ctx)
	l.claim = c
	return err
}

// release releases the claim in the background, so that an outage of the log blocks nothing. It makes
// at least one attempt, and repeats it until the claim has expired or ctx is done.
func (l *lazyClaim) release(ctx context.Context, wg *sync.WaitGroup) {
	c := l.claim
	l.claim = nil
	if c == nil || !c.Valid(0) {
		return
	}
	wg.Go(func() { releaseWithRetry(ctx, c) })
}

func releaseWithRetry(ctx context.Context, c *claim.Claim) {
	for {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), acquireTimeout)
		err := c.Release(bounded)
		cancel()
		if err == nil || c.Remaining() <= 0 {
			return
		}
		if !retry.Sleep(ctx, releaseInterval) {
			return
		}
	}
}
