package changelog

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Parameters of polling, exchange and loading. Intervals get a jitter of 10%.
const (
	readerCount         = 4                      // nodes that poll the log
	pollInterval        = time.Second            // between polls of one reader
	heartbeatInterval   = 2 * time.Second        // maximum time between notices
	fallbackAfter       = 4 * time.Second        // age of the last known log read at which other nodes poll
	fallbackSpacing     = 50 * time.Millisecond  // per member: the time over which these polls are spread
	minFallbackInterval = 5 * time.Second        // minimum time between these polls of one node
	exchangeAfter       = 3 * time.Second        // time without a notice after which a node pulls from a peer
	exchangeInterval    = 2 * time.Second        // between these pulls
	tickInterval        = 500 * time.Millisecond // maximum time between checks of the schedule
	gapRetryDelay       = 50 * time.Millisecond  // initial delay before missing records are pulled; doubles
	maxGapPulls         = 5                      // pulls for the gap before one notice
	loadRetryInterval   = time.Second            // between attempts to load the initial state
	maxLoadPeers        = 3                      // peers tried for a state in one attempt
	maxPullBytes        = 256 << 10              // approximate record bytes in one response to a pull
	maxPullRounds       = 64                     // consecutive pulls from one peer to catch up
)

// Options configure a Follower.
type Options struct {
	// Self is the name of this node in Peers.Members.
	Self       string
	Checkpoint CheckpointPolicy
	// MaxStale is the age of the last known read of the log, by this node or one
	// whose notices reached it, at which Status.Stale becomes true. Set it above
	// the longest log outage during which nodes should keep serving.
	MaxStale time.Duration
	// MaxIsolated is the time since the last contact with the log or any peer at
	// which Status.Stale becomes true.
	MaxIsolated time.Duration
	// Rand is the source of jitter and of random peers. Only Run uses it, from one
	// goroutine.
	Rand *rand.Rand
}

// Follower keeps a Store up to date. A few followers, the readers, poll the log
// and send new records to all others along a tree of notices; after every
// readerTermOffsets offsets other followers become readers. A follower that
// receives no notices pulls from a peer, and polls the log itself if the last
// known read is too old. Only records that were read from the log are forwarded.
type Follower[V any] struct {
	store        *Store[V]
	peers        Peers
	opts         Options
	checkpointer *checkpointer[V]
	spreads      *spreadTracker
	mu           sync.Mutex
	runCtx       context.Context // of Run; nil before Run starts and after it ends
	tasks        sync.WaitGroup
}

// NewFollower returns a follower of the store. Call Run to start it.
func NewFollower[V any](store *Store[V], peers Peers, opts Options) *Follower[V] {
	f := &Follower[V]{store: store, peers: peers, opts: opts, spreads: newSpreadTracker()}
	f.checkpointer = &checkpointer[V]{store: store, policy: opts.Checkpoint, rank: f.rank}
	store.onRead = f.onRead
	return f
}

// Run loads an initial state, then keeps the store up to date until the context
// ends.
func (f *Follower[V]) Run(ctx context.Context) {
	f.open(ctx)
	defer f.tasks.Wait()
	defer f.close()
	if !f.loadInitialState(ctx) {
		return
	}
	f.runInBackground(f.runCheckpointer)
	f.follow(ctx)
}

// open allows background tasks, under the given context.
func (f *Follower[V]) open(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runCtx = ctx
}

// close prevents further background tasks.
func (f *Follower[V]) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runCtx = nil
}

// runInBackground starts a task whose context ends with that of Run, and which Run
// waits for. It does nothing while Run is not active.
func (f *Follower[V]) runInBackground(task func(ctx context.Context)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runCtx == nil {
		return
	}
	ctx := f.runCtx
	f.tasks.Go(func() { task(ctx) })
}

// schedule holds the times of a follower's next actions.
type schedule struct {
	poll     time.Time // next poll as a reader
	fallback time.Time // next poll as a non-reader; zero while the last known read is recent
	exchange time.Time // next pull from a random peer
}

// untilNext returns the time to sleep until the schedule is checked again.
func (s schedule) untilNext(now time.Time) time.Duration {
	return max(time.Millisecond, min(tickInterval, s.poll.Sub(now)))
}

// follow polls the log and pulls from peers until the context ends.
func (f *Follower[V]) follow(ctx context.Context) {
	now := time.Now()
	next := schedule{poll: now.Add(f.randomUpTo(pollInterval)), exchange: now}
	for f.sleep(ctx, next.untilNext(time.Now())) {
		f.exchangeIfDue(ctx, &next)
		if f.isReader() {
			f.pollIfDue(ctx, &next)
			continue
		}
		next.poll = time.Now().Add(tickInterval)
		f.fallbackIfDue(ctx, &next)
	}
}

func (f *Follower[V]) exchangeIfDue(ctx context.Context, next *schedule) {
	if time.Now().Before(next.exchange) || f.store.freshness.sinceNotice() < exchangeAfter {
		return
	}
	f.exchange(ctx)
	next.exchange = time.Now().Add(f.jitter(exchangeInterval))
}

func (f *Follower[V]) pollIfDue(ctx context.Context, next *schedule) {
	if time.Now().Before(next.poll) {
		return
	}
	next.poll = time.Now().Add(f.jitter(pollInterval))
	f.poll(ctx)
}

// fallbackIfDue polls the log from a non-reader when the last known read is older
// than fallbackAfter. The nodes start at random times within fallbackSpan.
func (f *Follower[V]) fallbackIfDue(ctx context.Context, next *schedule) {
	age, _, _ := f.store.freshness.ages()
	span := f.fallbackSpan()
	switch {
	case age < fallbackAfter:
		next.fallback = time.Time{}
	case next.fallback.IsZero():
		next.fallback = time.Now().Add(f.randomUpTo(span))
	case !time.Now().Before(next.fallback):
		next.fallback = time.Now().Add(minFallbackInterval + f.randomUpTo(span))
		f.poll(ctx)
	}
}

// fallbackSpan returns the time over which the nodes spread their fallback polls;
// it is proportional to the number of members.
func (f *Follower[V]) fallbackSpan() time.Duration {
	return time.Duration(len(f.peers.Members())) * fallbackSpacing
}

// readerTermOffsets is the number of offsets after which the readers change.
const readerTermOffsets = 4096

// isReader reports whether this node currently polls the log.
func (f *Follower[V]) isReader() bool {
	term := uint64(f.store.state.applied() / readerTermOffsets)
	return rank(f.peers.Members(), term, f.opts.Self, readerCount) < readerCount
}

// randomUpTo returns a random duration in [0, d).
func (f *Follower[V]) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(f.opts.Rand.Float64() * float64(d))
}

// poll reads the log, and loads a newer state if retention has passed the applied
// offset. Other errors are left to the next poll.
func (f *Follower[V]) poll(ctx context.Context) {
	if err := f.store.Poll(ctx); errors.Is(err, ErrCompacted) {
		f.reload(ctx)
	}
}

// onRead sends the records of a log read to all other nodes. After a read without
// new records it sends a heartbeat if no notice was sent or received for
// heartbeatInterval.
func (f *Follower[V]) onRead(seg Segment) {
	if len(seg.Records) == 0 && f.store.freshness.sinceNotice() < heartbeatInterval {
		return
	}
	seed := uint64(seg.To)
	if len(seg.Records) == 0 {
		seed = uint64(time.Now().UnixNano()) // a new tree for each heartbeat
	}
	if seg.size() > maxPullBytes {
		seg = seg.withoutRecords() // receivers pull the records in pieces
	}
	n := f.newNotice(seg)
	n.Seed = seed
	n.Until = f.opts.Self
	f.forwardNotice(n)
}

// newNotice returns a notice from this node with its current freshness.
func (f *Follower[V]) newNotice(seg Segment) Notice {
	_, _, newestKnown := f.store.freshness.ages()
	return Notice{Sender: f.opts.Self, Known: newestKnown, Age: f.store.freshness.logAge(), Segment: seg}
}

// forwardNotice sends a notice to this node's share of the members in the
// background, except those that it has already sent it to.
func (f *Follower[V]) forwardNotice(n Notice) {
	f.store.freshness.recordNoticeTime()
	end := shareEnd(n.Seed, f.opts.Self, n.Until)
	done := f.spreads.advance(n.Seed, end)
	if done >= end {
		return
	}
	f.runInBackground(func(ctx context.Context) { spreadNotice(ctx, f.peers, f.opts.Self, n, done) })
}

// rank returns this node's position among the live nodes in the order that the
// number determines.
func (f *Follower[V]) rank(number uint64) int {
	members := f.peers.Members()
	return rank(members, number, f.opts.Self, len(members))
}

// otherMembers returns the live nodes except this one.
func (f *Follower[V]) otherMembers() []string {
	members := slices.Clone(f.peers.Members())
	return slices.DeleteFunc(members, func(m string) bool { return m == f.opts.Self })
}

// jitter returns d with a random change of up to 10%.
func (f *Follower[V]) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*f.opts.Rand.Float64()))
}

// sleep waits for about d. It returns false if the context ended first.
func (f *Follower[V]) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(f.jitter(d)):
		return true
	case <-ctx.Done():
		return false
	}
}

// runCheckpointer checks about once a second whether this node must write to a
// checkpoint.
func (f *Follower[V]) runCheckpointer(ctx context.Context) {
	for {
		f.checkpointer.tick(ctx) // after an error, a later tick on this or another node retries
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return
		}
	}
}
