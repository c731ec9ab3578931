package changelog

import (
	"context"
	"errors"
	"time"
)

// Handle processes a notice from a peer. It applies the records, forwards the
// notice to this node's share of the members, and pulls missing records from the
// sender; forwarding and pulling continue in the background. Handling a notice
// twice is harmless.
func (f *Follower[V]) Handle(n Notice) {
	f.store.freshness.recordPeerNotice(n)
	advanced, err := f.store.state.apply(n.Segment)
	forwarded := n
	forwarded.Sender = f.opts.Self
	if !advanced && err == nil {
		forwarded.Segment = n.Segment.withoutRecords() // most members of the share already have the records
	}
	f.forwardNotice(forwarded)
	f.store.freshness.recordNoticeTime()
	if f.store.Ready() && f.store.state.applied() < n.Segment.To-1 {
		f.runInBackground(func(ctx context.Context) { f.fillGap(ctx, n) })
	}
}

// fillGap obtains the records that are missing before those of a notice. Usually
// another notice in flight delivers them, so fillGap waits before it pulls.
func (f *Follower[V]) fillGap(ctx context.Context, n Notice) {
	pause := gapPullDelay
	for range maxGapPulls {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		if _, err := f.store.state.apply(n.Segment); err == nil && f.store.state.applied() >= n.Segment.To-1 {
			return
		}
		f.pull(ctx, n.Sender)
		pause *= 2
	}
}

// Records returns the response to a peer's pull: the records at and above an
// offset, of at most about maxPullBytes. It returns ErrCompacted if this node no
// longer holds them, and ErrNotReady if no state is loaded.
func (f *Follower[V]) Records(from int64) (Notice, error) {
	seg, err := f.store.state.segment(from, maxPullBytes)
	if err != nil {
		return Notice{}, err
	}
	return f.newNotice(seg), nil
}

// Image returns the encoded state for a peer that loads it. It returns ErrNotReady
// if no state is loaded.
func (f *Follower[V]) Image() ([]byte, error) { return f.store.Image() }

// pullFromRandomPeer pulls new records from a random peer.
func (f *Follower[V]) pullFromRandomPeer(ctx context.Context) {
	others := f.otherMembers()
	if len(others) == 0 {
		return
	}
	f.pull(ctx, others[f.opts.Rand.IntN(len(others))])
}

// pull requests records from a peer until it returns no new ones. If the peer no
// longer holds the records, pull loads the peer's complete state.
func (f *Follower[V]) pull(ctx context.Context, peer string) {
	for range maxPullRounds {
		n, err := f.pullOnce(ctx, peer)
		if errors.Is(err, ErrCompacted) {
			f.loadFromPeer(ctx, peer) // after an error, the next pull retries
			return
		}
		if err != nil {
			return
		}
		f.store.freshness.recordPeerNotice(n)
		if advanced, err := f.store.state.apply(n.Segment); err != nil || !advanced {
			return
		}
	}
}

// pullOnce requests records from a peer once. It adds the full duration of the
// request to the age in the response; otherwise each pull would understate the age.
func (f *Follower[V]) pullOnce(ctx context.Context, peer string) (Notice, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := time.Now()
	n, err := f.peers.Records(ctx, peer, f.store.state.applied()+1)
	return n.withAddedAge(time.Since(started)), err
}

// FollowerStatus describes how up to date a node is.
type FollowerStatus struct {
	// Ready reports whether a state has been loaded.
	Ready bool
	// Applied is the offset up to which the log has been applied.
	Applied int64
	// NewestKnown is the newest offset reported by the log or a peer.
	NewestKnown int64
	// LogAge is the time since the last known read of the log, by this node or one
	// whose notices reached it; the time since the start if none is known.
	LogAge time.Duration
	// ContactAge is the time since the last contact with the log or any peer, counted
	// from the start if there was none.
	ContactAge time.Duration
	// CompleteMark is the mark of the newest complete checkpoint that this node has
	// read, 0 for none.
	CompleteMark int64
	// Stale reports that LogAge or ContactAge has reached its limit in Options. A
	// stale node should accept no new work.
	Stale bool
}

// Status returns how up to date this node is.
func (f *Follower[V]) Status() FollowerStatus {
	logAge, contactAge, newestKnown := f.store.freshness.ages()
	return FollowerStatus{
		Ready:        f.store.Ready(),
		Applied:      f.store.state.applied(),
		NewestKnown:  newestKnown,
		LogAge:       logAge,
		ContactAge:   contactAge,
		CompleteMark: f.store.state.latestCompleteMark(),
		Stale:        logAge >= f.opts.MaxLogAge || contactAge >= f.opts.MaxContactAge,
	}
}
