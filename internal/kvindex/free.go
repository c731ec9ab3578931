package kvindex

import (
	"context"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
)

const (
	// freeInterval is the time between two scans for parts to free.
	freeInterval = time.Second
	// freeBatch is the maximum number of parts freed by one call in a small system.
	// largeSystemFreeBatch is the maximum in a large one, where every node receives an event for
	// each freed part: with 22 stores, up to 45 KB of events per second.
	freeBatch            = 500
	largeSystemFreeBatch = 40
	// MaxFreeTime is the maximum time from the decision to free parts until a store frees them. A
	// later request has no effect, so that a node that was suspended in between frees no part that is
	// in use again.
	MaxFreeTime = 1500 * time.Millisecond
)

// FreeOrder is a request to a store to free parts.
type FreeOrder struct {
	Parts []Part
	Epoch int64 // the store's epoch in which the parts were kept; in another one nothing is freed
	// UntilMS is the time, in ms on the stores' clock, after which nothing is freed.
	UntilMS int64
}

// SaltFilter decides which salts are no longer in use.
type SaltFilter interface {
	// Outdated reports whether parts under the salt may be freed: every node has stopped referencing
	// them, and each fetch that had started has ended.
	Outdated(salt string) bool
}

// Free frees outdated parts of all stores until ctx is done. Several nodes may free at the same
// time: no node still uses a part that filter reports as outdated. active reports whether this node
// should free parts, isLargeSystem whether the system is large.
func (x *Index) Free(ctx context.Context, filter SaltFilter, active, isLargeSystem func() bool) error {
	for ctx.Err() == nil {
		retry.Sleep(ctx, freeInterval)
		if !active() {
			continue
		}
		limit := freeBatch
		if isLargeSystem() {
			limit = largeSystemFreeBatch
		}
		for _, store := range x.Stores() {
			x.freeOutdated(ctx, store, filter, limit)
		}
	}
	return nil
}

// freeOutdated frees up to limit outdated parts of one store.
func (x *Index) freeOutdated(ctx context.Context, store *Holder, filter SaltFilter, limit int) {
	until := x.ClockMS() + MaxFreeTime.Milliseconds() // read before the decision
	parts, epoch := store.partsMatching(filter.Outdated)
	if len(parts) == 0 || !store.Reachable() {
		return
	}
	parts = parts[:min(len(parts), limit)] // the largest first: a freed part costs one event whatever its size
	err := x.Source.Free(ctx, store.Addr, FreeOrder{Parts: parts, Epoch: epoch, UntilMS: until})
	x.Log.Info().Str("event", "parts_freed").Str("store", store.Addr).Int("parts", len(parts)).
		Str("salt", parts[0].Salt).AnErr("error", err).Send()
	if err != nil {
		return
	}
	for _, part := range parts {
		store.removePart(part)
	}
}
