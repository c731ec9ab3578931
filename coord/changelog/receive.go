package changelog

import (
	"context"
	"errors"
	"time"
)

// Handle takes a notice from a peer: it applies the records, passes the notice
// on to this node's share of the members, and closes a gap by asking the sender.
// It returns before that is done. Handling a notice twice is harmless.
func (f *Follower[V]) Handle(n Notice) {
	f.store.contact.heardPeer(n)
	fresh, err := f.store.state.apply(n.Segment)
	on := n
	on.Sender = f.opts.Self
	if !fresh && err == nil {
		on.Segment = n.Segment.announced() // most of the share have the records by now
	}
	f.pass(on)
	f.store.contact.noticed()
	if f.store.Ready() && f.store.state.applied() < n.Segment.To-1 {
		f.background(func(ctx context.Context) { f.fillGap(ctx, n) })
	}
}

// fillGap gets what is missing before the records of a notice. Mostly another
// notice on its way brings it, so it waits before it asks.
func (f *Follower[V]) fillGap(ctx context.Context, n Notice) {
	pause := gapPause
	for range gapTries {
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

// Records answers a peer's pull.
func (f *Follower[V]) Records(from int64) (Notice, error) {
	seg, err := f.store.state.segment(from, pullBytes)
	if err != nil {
		return Notice{}, err
	}
	return f.notice(seg), nil
}

// Image answers a peer that needs the whole state.
func (f *Follower[V]) Image() ([]byte, error) { return f.store.Image() }

// exchange asks a random peer for news.
func (f *Follower[V]) exchange(ctx context.Context) {
	others := f.others()
	if len(others) == 0 {
		return
	}
	f.pull(ctx, others[f.opts.Rand.IntN(len(others))])
}

// pull asks a peer for its records until there are no more. If the peer no
// longer holds them, it takes the peer's whole state.
func (f *Follower[V]) pull(ctx context.Context, peer string) {
	for range pullRounds {
		n, err := f.records(ctx, peer)
		if errors.Is(err, ErrCompacted) {
			f.loadFrom(ctx, peer) // on an error the next exchange tries again
			return
		}
		if err != nil {
			return
		}
		f.store.contact.heardPeer(n)
		if fresh, err := f.store.state.apply(n.Segment); err != nil || !fresh {
			return
		}
	}
}

// records makes one pull. The time that it takes counts towards the age.
func (f *Follower[V]) records(ctx context.Context, peer string) (Notice, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	n, err := f.peers.Records(ctx, peer, f.store.state.applied()+1)
	return n.older(time.Since(asked)), err // else the age would lose time at each pull
}

// FollowerStatus is what a node knows of its own freshness.
type FollowerStatus struct {
	Ready bool
	// Applied is the offset up to which the log is contained in the state.
	Applied int64
	// NewestKnown is the newest offset that this node has heard of.
	NewestKnown int64
	// LogAge is how long ago the log was last read, here or by a node whose word
	// reached this one; since the start if it never was.
	LogAge time.Duration
	// Silence is how long ago this node last heard from the log or any peer.
	Silence time.Duration
	// Checkpoint is the mark of the newest whole checkpoint seen, 0 for none.
	Checkpoint int64
	// Stale tells that the node should take no new work.
	Stale bool
}

// Status returns the present status.
func (f *Follower[V]) Status() FollowerStatus {
	logAge, silence, known := f.store.contact.ages()
	return FollowerStatus{
		Ready:       f.store.Ready(),
		Applied:     f.store.state.applied(),
		NewestKnown: known,
		LogAge:      logAge,
		Silence:     silence,
		Checkpoint:  f.store.state.checkpointMark(),
		Stale:       logAge >= f.opts.MaxStale || silence >= f.opts.MaxIsolated,
	}
}
