package changelog

import (
	"context"
	"time"
)

// startRounds is the number of rounds of questions to peers in which a node that is no reader leaves the
// log to others: when all nodes start at once, nobody has a state in the first, and few in the second.
const startRounds = 2

// start gets a first state. When all nodes start at once, a few read the log and
// the others mostly get theirs from them. It returns false if the context ended.
func (f *Follower[V]) start(ctx context.Context) bool {
	logFrom := time.Now()
	if !f.isReader() {
		logFrom = logFrom.Add(startRounds*loadRetry + f.spreadOver(f.fallbackSpan()))
	}
	for !f.store.Ready() {
		if f.loadFromPeers(ctx) != nil && !time.Now().Before(logFrom) {
			f.store.LoadFromLog(ctx) // on an error the next round tries again
		}
		if !f.store.Ready() && !f.sleep(ctx, loadRetry) {
			return false
		}
	}
	return true
}

// load gets a state beyond the present one.
func (f *Follower[V]) load(ctx context.Context) {
	if f.loadFromPeers(ctx) != nil {
		f.store.LoadFromLog(ctx) // on an error the caller's next poll tries again
	}
}

// loadFromPeers asks some peers for a state beyond the present one.
func (f *Follower[V]) loadFromPeers(ctx context.Context) error {
	others := f.others()
	f.opts.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, peer := range others[:min(loadPeers, len(others))] {
		if f.loadFrom(ctx, peer) == nil {
			return nil
		}
	}
	return ErrNotReady
}

func (f *Follower[V]) loadFrom(ctx context.Context, peer string) error {
	ready, before := f.store.Ready(), f.store.state.applied()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	image, err := f.peers.Snapshot(ctx, peer)
	if err != nil {
		return err
	}
	if err := f.store.Restore(image); err != nil {
		return err
	}
	if ready && f.store.state.applied() <= before {
		return ErrCompacted
	}
	return nil
}
