package changelog

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Parameters of polling, pulling and loading. Intervals get a jitter of 10%.
const (
	readerCount         = 4                      // nodes that poll the log regularly
	pollInterval        = time.Second            // between polls of one reader
	heartbeatInterval   = 2 * time.Second        // maximum time between notices
	fallbackAfter       = 4 * time.Second        // age of the last known log read at which non-readers poll
	fallbackSpacing     = 50 * time.Millisecond  // time per member over which fallback polls are spread
	minFallbackInterval = 5 * time.Second        // minimum time between fallback polls of one node
	pullAfter           = 3 * time.Second        // time without a notice after which a node pulls from a peer
	pullInterval        = 2 * time.Second        // between these pulls
	tickInterval        = 500 * time.Millisecond // maximum time between checks of the schedule
	gapPullDelay        = 50 * time.Millisecond  // initial delay before missing records are pulled; doubles
	maxGapPulls         = 5                      // maximum pulls to fill the gap before one notice
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
	// MaxLogAge limits FollowerStatus.LogAge, the age of the last known read of the
	// log: from this age on, FollowerStatus.Stale is true. Set it above the longest
	// log outage during which nodes should keep serving.
	MaxLogAge time.Duration
	// MaxContactAge limits the time since the last contact with the log or any peer:
	// from this time on, FollowerStatus.Stale is true.
	MaxContactAge time.Duration
	// Rand is the source of jitter and of random peers. Only Run uses it, from one
	// goroutine.
	Rand *rand.Rand
}

// Follower keeps a Store up to date. A few followers, the readers, poll the log
// and send notices with new records to all others; each notice is forwarded along
// a tree of members. After every readerTermOffsets offsets other followers become
// readers. A follower that receives no notices pulls from a peer, and polls the log
// itself if the last known read is too old. Only records that were read from the
// log are forwarded.
type Follower[V any] struct {
	store          *Store[V]
	peers          Peers
	opts           Options
	checkpointer   *checkpointer[V]
	forwardTracker *forwardTracker
	mu             sync.Mutex
	runCtx         context.Context // of Run; nil before Run starts and after it ends
	tasks          sync.WaitGroup
}

// NewFollower returns a follower of the store. Call Run to start it.
func NewFollower[V any](store *Store[V], peers Peers, opts Options) *Follower[V] {
	f := &Follower[V]{store: store, peers: peers, opts: opts, forwardTracker: newForwardTracker()}
	f.checkpointer = &checkpointer[V]{store: store, policy: opts.Checkpoint, rank: f.rank}
	store.onRead = f.onRead
	return f
}

// Run loads an initial state, then keeps the store up to date until the context
// ends.
func (f *Follower[V]) Run(ctx context.Context) {
	f.allowTasks(ctx)
	defer f.tasks.Wait()
	defer f.refuseTasks()
	if !f.loadInitialState(ctx) {
		return
	}
	f.runInBackground(f.runCheckpointer)
	f.follow(ctx)
}

// allowTasks lets runInBackground start tasks, with the given context.
func (f *Follower[V]) allowTasks(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runCtx = ctx
}

// refuseTasks prevents runInBackground from starting further tasks.
func (f *Follower[V]) refuseTasks() {
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
	nextPoll     time.Time // next poll as a reader
	nextFallback time.Time // next poll as a non-reader; zero while the last known read is recent
	nextPull     time.Time // next pull from a random peer
}

// untilNext returns the time to sleep until the schedule is checked again.
func (s schedule) untilNext(now time.Time) time.Duration {
	return max(time.Millisecond, min(tickInterval, s.nextPoll.Sub(now)))
}

// follow polls the log and pulls from peers until the context ends.
func (f *Follower[V]) follow(ctx context.Context) {
	now := time.Now()
	sched := schedule{nextPoll: now.Add(f.randomUpTo(pollInterval)), nextPull: now}
	for f.sleep(ctx, sched.untilNext(time.Now())) {
		f.pullIfNoNotice(ctx, &sched)
		if f.isReader() {
			f.pollIfDue(ctx, &sched)
			continue
		}
		sched.nextPoll = time.Now().Add(tickInterval)
		f.fallbackIfDue(ctx, &sched)
	}
}

func (f *Follower[V]) pullIfNoNotice(ctx context.Context, sched *schedule) {
	if time.Now().Before(sched.nextPull) || f.store.freshness.sinceNotice() < pullAfter {
		return
	}
	f.pullFromRandomPeer(ctx)
	sched.nextPull = time.Now().Add(f.jitter(pullInterval))
}

func (f *Follower[V]) pollIfDue(ctx context.Context, sched *schedule) {
	if time.Now().Before(sched.nextPoll) {
		return
	}
	sched.nextPoll = time.Now().Add(f.jitter(pollInterval))
	f.poll(ctx)
}

// fallbackIfDue polls the log from a non-reader when the last known read is older
// than fallbackAfter. The nodes start at random times within fallbackSpan.
func (f *Follower[V]) fallbackIfDue(ctx context.Context, sched *schedule) {
	age, _, _ := f.store.freshness.ages()
	span := f.fallbackSpan()
	switch {
	case age < fallbackAfter:
		sched.nextFallback = time.Time{}
	case sched.nextFallback.IsZero():
		sched.nextFallback = time.Now().Add(f.randomUpTo(span))
	case !time.Now().Before(sched.nextFallback):
		sched.nextFallback = time.Now().Add(minFallbackInterval + f.randomUpTo(span))
		f.poll(ctx)
	}
}

// fallbackSpan returns the time over which the fallback polls of all nodes are
// distributed. It is proportional to the number of members.
func (f *Follower[V]) fallbackSpan() time.Duration {
	return time.Duration(len(f.peers.Members())) * fallbackSpacing
}

// readerTermOffsets is the number of offsets after which the readers change.
const readerTermOffsets = 4096

// isReader reports whether this node is currently one of the readers.
func (f *Follower[V]) isReader() bool {
	term := uint64(f.store.state.applied() / readerTermOffsets)
	return rank(f.peers.Members(), term, f.opts.Self, readerCount) < readerCount
}

// randomUpTo returns a random duration in [0, d).
func (f *Follower[V]) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(f.opts.Rand.Float64() * float64(d))
}

// poll reads the log, and loads a newer state if the next records are no longer
// retained. After any other error the next poll retries.
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
		seed = uint64(time.Now().UnixNano()) // each heartbeat uses a new tree
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
	return Notice{Sender: f.opts.Self, NewestKnown: newestKnown, LogAge: f.store.freshness.logAge(), Segment: seg}
}

// forwardNotice sends a notice to this node's share of the members in the
// background, except members to which it already forwarded a notice with the same
// seed.
func (f *Follower[V]) forwardNotice(n Notice) {
	f.store.freshness.recordNoticeTime()
	end := shareEnd(n.Seed, f.opts.Self, n.Until)
	start := f.forwardTracker.advance(n.Seed, end)
	if start >= end {
		return
	}
	f.runInBackground(func(ctx context.Context) { sendToShare(ctx, f.peers, f.opts.Self, n, start) })
}

// rank returns this node's position among the live nodes in the order that the
// seed determines.
func (f *Follower[V]) rank(seed uint64) int {
	members := f.peers.Members()
	return rank(members, seed, f.opts.Self, len(members))
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

// runCheckpointer checks about once a second whether this node must write a mark or
// parts of a checkpoint.
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
