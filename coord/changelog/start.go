package changelog

import (
	"context"
	"time"
)

// peerOnlyRounds is the number of rounds in which a node that is not a reader tries
// to load a state from peers only. If all nodes start at once, no node has a state
// in the first round, and few have one in the second.
const peerOnlyRounds = 2

// loadInitialState retries until a state is loaded. If all nodes start at once, the
// readers load it from the log, and most other nodes load it from peers. It returns
// false if the context ended first.
func (f *Follower[V]) loadInitialState(ctx context.Context) bool {
	logAllowedAt := time.Now()
	if !f.isReader() {
		logAllowedAt = logAllowedAt.Add(peerOnlyRounds*loadRetryInterval + f.randomUpTo(f.fallbackSpan()))
	}
	for !f.store.Ready() {
		if f.loadFromPeers(ctx) != nil && !time.Now().Before(logAllowedAt) {
			f.store.LoadFromLog(ctx) // after an error, the next round retries
		}
		if !f.store.Ready() && !f.sleep(ctx, loadRetryInterval) {
			return false
		}
	}
	return true
}

// reload loads a state newer than the current one, from a peer or else the log.
func (f *Follower[V]) reload(ctx context.Context) {
	if f.loadFromPeers(ctx) != nil {
		f.store.LoadFromLog(ctx) // after an error, the caller's next poll retries
	}
}

// loadFromPeers requests a state newer than the current one from up to maxLoadPeers
// random peers. It returns ErrNotReady if none provides one.
func (f *Follower[V]) loadFromPeers(ctx context.Context) error {
	others := f.otherMembers()
	f.opts.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, peer := range others[:min(maxLoadPeers, len(others))] {
		if f.loadFromPeer(ctx, peer) == nil {
			return nil
		}
	}
	return ErrNotReady
}

// loadFromPeer loads the state of a peer. It returns ErrCompacted if that state is
// not newer than the current one.
func (f *Follower[V]) loadFromPeer(ctx context.Context, peer string) error {
	ready, before := f.store.Ready(), f.store.state.applied()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	image, err := f.peers.Image(ctx, peer)
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
