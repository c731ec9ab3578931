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
	"github.com/cherryward/cherryward/internal/pace"
)

const (
	// goneAfter is how long a node may give no sign of life before its entry is marked: far
	// longer than a restart or a pause takes, as each false mark costs two writes and ends all
	// nodes' waiting reads twice.
	goneAfter = 60 * time.Second
	// sweepPause is the time between two looks for nodes that are gone, each of which writes
	// at most one entry: where failure domains are cut off from one another, but not from the
	// store, a sweeper makes no more than 12 writes a minute, and the marked nodes as many.
	sweepPause = 5 * time.Second
	// sweepers is the number of nodes that look after the same others. One may have lost the
	// store.
	sweepers = 2
)

// sweeper removes the entries of nodes that are gone from the topic.
//
// An entry is marked first, which asks its node whether it lives: if it reads the topic, it
// writes its entry anew. An entry that stays marked for goneGrace is removed. Both writes
// follow the newest record that the sweeper knows, so that of two sweepers one fails, and
// nothing is removed that was written meanwhile. See lease for why a node that lives and is
// removed nevertheless does no harm.
type sweeper struct {
	roster *roster
	// alive reports whether a node, or any of its failure domain if that is another one, was
	// heard within a time.
	alive func(name, domain string, within time.Duration) bool
	// hears reports whether any node was heard: one that hears nobody is cut off itself.
	hears func(within time.Duration) bool

	signs map[string]time.Time // a node's last sign of life
	last  time.Time            // look; zero where this node didn't sweep
}

// listing is another node's entry as the sweeper sees it.
type listing struct {
	nodeEntry
	name    string
	written time.Time
}

// newSweeper returns a node's sweeper.
func newSweeper(n *Node) *sweeper {
	table := n.peers.Table
	return &sweeper{
		roster: n.roster,
		alive: func(name, domain string, within time.Duration) bool {
			now := n.clock.Now()
			return table.Heard(name, now, within) || domain != n.roster.own.Domain && table.HeardOf(domain, now, within)
		},
		hears: func(within time.Duration) bool {
			now := n.clock.Now()
			return table.Hears(now, within) || table.HearsAfar(now, within)
		},
	}
}

// run sweeps until ctx is done.
func (s *sweeper) run(ctx context.Context) error {
	for ctx.Err() == nil {
		retry.Sleep(ctx, sweepPause)
		s.sweep(ctx, s.roster.clock.Now())
	}
	return nil
}

// sweep looks once, and writes at most one entry.
func (s *sweeper) sweep(ctx context.Context, now time.Time) {
	if !s.roster.sweeps() {
		s.last = time.Time{}
		return
	}
	listed, end := s.roster.listed()
	s.note(listed, now)
	if !s.hears(sweepPause) {
		return
	}
	for i := range listed {
		if do := s.due(&listed[i], now); do != keepEntry {
			s.write(ctx, &listed[i], do, end)
			return
		}
	}
}

// note takes the nodes' signs of life: messages and entries that they wrote. After a pause of
// this process all count as alive, as it heard nobody meanwhile, and so they do for a node that
// begins to sweep, as those of a large system tell the sweepers alone that they live.
func (s *sweeper) note(listed []listing, now time.Time) {
	before := s.signs
	if now.Sub(s.last) > 2*sweepPause {
		before = nil
	}
	s.last = now
	s.signs = make(map[string]time.Time, len(listed))
	for _, l := range listed {
		sign, known := before[l.name]
		switch {
		case !known || s.alive(l.name, l.Domain, sweepPause):
			sign = now
		case l.written.After(sign):
			sign = l.written
		}
		s.signs[l.name] = sign
	}
}

// action is what is to be done with an entry.
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

// due returns what is to be done with an entry. Its mark is a record, too, from which on
// goneGrace counts.
func (s *sweeper) due(l *listing, now time.Time) action {
	silent := now.Sub(s.signs[l.name])
	switch {
	case l.Gone && silent >= s.roster.lease.grace:
		return removeEntry
	case !l.Gone && silent >= goneAfter:
		return markEntry
	}
	return keepEntry
}

func (s *sweeper) write(ctx context.Context, l *listing, do action, end int64) {
	err := s.put(ctx, l, do, end)
	if errors.Is(err, follow.ErrChanged) {
		return // another sweeper was first, or the node lives
	}
	s.roster.log.Info().Str("event", "node_gone").Str("node", l.name).Stringer("action", do).AnErr("error", err).Send()
}

func (s *sweeper) put(ctx context.Context, l *listing, do action, end int64) error {
	if do == removeEntry {
		return s.roster.topic.PutIf(ctx, l.name, nil, end)
	}
	marked := l.nodeEntry
	marked.Gone = true
	value, err := json.Marshal(marked)
	if err != nil {
		return eris.Wrap(err, "encode a marked entry")
	}
	return s.roster.topic.PutIf(ctx, l.name, value, end)
}

// listed returns the other nodes' entries by name, and where the topic ended when they were read.
func (r *roster) listed() (list []listing, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range r.entries {
		if name != r.node {
			list = append(list, listing{nodeEntry: e, name: name, written: r.written[name]})
		}
	}
	slices.SortFunc(list, func(a, b listing) int { return strings.Compare(a.name, b.name) })
	return list, r.end
}

// sweeps reports whether this node looks after the others: the first few that were heard
// lately, of a small system, or of each failure domain of a large one. They look after the
// nodes of failure domains of which nobody is heard, too.
func (r *roster) sweeps() bool {
	whole := pace.Whole(r.Nodes())
	r.mu.Lock()
	near := r.sorted(func(e nodeEntry) bool { return whole || e.Domain == r.own.Domain })
	r.mu.Unlock()
	before := 0
	for _, n := range near {
		if n.name == r.node {
			return before < sweepers
		}
		if r.heard(n.name) {
			before++
		}
	}
	return false // its own entry is not there
}
