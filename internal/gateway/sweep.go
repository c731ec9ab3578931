package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/intervals"
)

const (
	// silenceTimeout is how long a node may show no activity before its entry is marked. It is far
	// longer than a restart or a pause of a process, since each false mark costs two writes and
	// twice ends every node's waiting read.
	silenceTimeout = 60 * time.Second
	// sweepInterval is the time between two checks for nodes that are gone. Each check writes at
	// most one entry: if failure domains are disconnected from one another but not from the
	// metadata store, a sweeper makes at most 12 writes per minute, and the marked nodes as many.
	sweepInterval = 5 * time.Second
	// sweepersPerGroup is the number of nodes that watch the same group of nodes, in case one
	// cannot reach the metadata store.
	sweepersPerGroup = 2
)

// sweeper removes the entries of nodes that are gone from the topic.
//
// An entry is marked first: its Gone field is set. If its node is alive and reads the topic, it
// writes the entry again; an entry that stays marked for removalGrace is removed. Both writes are
// conditional on the newest record that the sweeper has read. One of two concurrent sweepers
// therefore fails, and no entry that was written meanwhile is removed. See lease for why the
// removal of a live node is harmless.
type sweeper struct {
	roster *roster
	// alive reports whether a message of a node, or of any node of its failure domain if that is a
	// different one, arrived within the given time.
	alive func(name, domain string, within time.Duration) bool
	// connected reports whether a message of any node arrived within the given time. A node that
	// receives none is itself disconnected.
	connected func(within time.Duration) bool

	lastSeen  map[string]time.Time // last activity of each node
	lastSweep time.Time            // zero if this node was not a sweeper at the last check
}

// listedEntry is another node's entry as read by the sweeper.
type listedEntry struct {
	nodeEntry
	name      string
	writtenAt time.Time
}

// newSweeper returns the sweeper of a node.
func newSweeper(n *Node) *sweeper {
	table := n.peers.Table
	return &sweeper{
		roster: n.roster,
		alive: func(name, domain string, within time.Duration) bool {
			now := n.clock.Now()
			return table.ReceivedFrom(name, now, within) || domain != n.roster.own.Domain && table.ReceivedFromDomain(domain, now, within)
		},
		connected: func(within time.Duration) bool {
			now := n.clock.Now()
			return table.ReceivedFromAny(now, within) || table.ReceivedFromOtherDomains(now, within)
		},
	}
}

// run sweeps at each sweepInterval until ctx is done.
func (s *sweeper) run(ctx context.Context) error {
	for ctx.Err() == nil {
		retry.Sleep(ctx, sweepInterval)
		s.sweep(ctx, s.roster.clock.Now())
	}
	return nil
}

// sweep checks all entries once, and writes at most one.
func (s *sweeper) sweep(ctx context.Context, now time.Time) {
	if !s.roster.isSweeper() {
		s.lastSweep = time.Time{}
		return
	}
	listed, end := s.roster.listEntries()
	s.updateLastSeen(listed, now)
	if !s.connected(sweepInterval) {
		return
	}
	for i := range listed {
		if next := s.nextAction(&listed[i], now); next != keepEntry {
			s.write(ctx, &listed[i], next, end)
			return
		}
	}
}

// updateLastSeen records the nodes' activity: messages and written entries. After a pause of this
// process all nodes count as active, since it received no messages meanwhile. The same holds for a
// node that becomes a sweeper, since the nodes of a large system report their activity to the
// sweepers only.
func (s *sweeper) updateLastSeen(listed []listedEntry, now time.Time) {
	before := s.lastSeen
	if now.Sub(s.lastSweep) > 2*sweepInterval {
		before = nil
	}
	s.lastSweep = now
	s.lastSeen = make(map[string]time.Time, len(listed))
	for _, l := range listed {
		seen, known := before[l.name]
		switch {
		case !known || s.alive(l.name, l.Domain, sweepInterval):
			seen = now
		case l.writtenAt.After(seen):
			seen = l.writtenAt
		}
		s.lastSeen[l.name] = seen
	}
}

// action is the operation to perform on an entry.
type action int

const (
	keepEntry action = iota
	markEntry
	removeEntry
)

// String implements fmt.Stringer.
func (a action) String() string {
	return [...]string{keepEntry: "keep", markEntry: "mark", removeEntry: "remove"}[a]
}

// nextAction returns the operation to perform on an entry. The mark is itself a record, so
// removalGrace is counted from it.
func (s *sweeper) nextAction(l *listedEntry, now time.Time) action {
	inactiveFor := now.Sub(s.lastSeen[l.name])
	switch {
	case l.Gone && inactiveFor >= s.roster.lease.grace:
		return removeEntry
	case !l.Gone && inactiveFor >= silenceTimeout:
		return markEntry
	}
	return keepEntry
}

// write performs an operation on an entry and logs the result.
func (s *sweeper) write(ctx context.Context, l *listedEntry, next action, end int64) {
	err := s.put(ctx, l, next, end)
	if errors.Is(err, follow.ErrChanged) {
		return // another sweeper wrote first, or the node is alive
	}
	s.roster.log.Info().Str("event", "node_gone").Str("node", l.name).Stringer("action", next).AnErr("error", err).Send()
}

// put marks or removes an entry on condition that the topic still ends at end.
func (s *sweeper) put(ctx context.Context, l *listedEntry, next action, end int64) error {
	if next == removeEntry {
		return s.roster.topic.PutIf(ctx, l.name, nil, end)
	}
	marked := l.nodeEntry
	marked.Gone = true
	value, err := json.Marshal(marked)
	if err != nil {
		return eris.Wrap(err, "encode marked node entry")
	}
	return s.roster.topic.PutIf(ctx, l.name, value, end)
}

// listEntries returns the other nodes' entries, sorted by name, and the offset up to which the
// topic was read.
func (r *roster) listEntries() (list []listedEntry, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range r.entries {
		if name != r.node {
			list = append(list, listedEntry{nodeEntry: e, name: name, writtenAt: r.writtenAt[name]})
		}
	}
	slices.SortFunc(list, func(a, b listedEntry) int { return strings.Compare(a.name, b.name) })
	return list, r.end
}

// isSweeper reports whether this node watches the others. The sweepers are the first active nodes
// of a small system, or of each failure domain of a large one. They also watch the nodes of failure
// domains from which no message arrives.
func (r *roster) isSweeper() bool {
	small := intervals.FullMesh(r.Nodes())
	r.mu.Lock()
	group := r.sortedNodes(func(e nodeEntry) bool { return small || e.Domain == r.own.Domain })
	r.mu.Unlock()
	active := 0
	for _, n := range group {
		if n.name == r.node {
			return active < sweepersPerGroup
		}
		if r.peerAlive(n.name) {
			active++
		}
	}
	return false // its own entry is not listed
}
