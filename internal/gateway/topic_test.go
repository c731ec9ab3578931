package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/pace"
	"github.com/cherryward/cherryward/internal/peerload"
)

// errCut is what calls of a node fail with that is cut off from the store.
var errCut = errors.New("cut off")

// nodesLog is a topic in memory, for one goroutine.
type nodesLog struct {
	records       []follow.Record
	writes, reads int // calls that succeeded
}

func (l *nodesLog) put(key string, value []byte, end int64) error {
	if end >= 0 && end != int64(len(l.records)) {
		return follow.ErrChanged
	}
	l.writes++
	l.records = append(l.records, follow.Record{Key: key, Value: value, Offset: int64(len(l.records))})
	return nil
}

// newest returns the newest record of each key.
func (l *nodesLog) newest() []follow.Record {
	newest := make(map[string]follow.Record)
	for _, r := range l.records {
		newest[r.Key] = r
	}
	var list []follow.Record
	for _, r := range newest {
		if r.Value != nil {
			list = append(list, r)
		}
	}
	return list
}

// listedNode is a node of which only the list of nodes runs, step by step. Its process may be
// frozen, and it may be cut off from the store and not heard by other nodes, nor hear them.
type listedNode struct {
	*roster
	log     *nodesLog
	sweeper *sweeper

	frozen, cut, silent bool

	next               int64 // offset to read from
	sent               time.Time
	answer             *follow.Batch // to the read that was sent; nil while it waits
	announces, sweepAt time.Time
}

var _ putter = (*listedNode)(nil)

// Put implements putter.
func (n *listedNode) Put(ctx context.Context, key string, value []byte) error {
	return n.PutIf(ctx, key, value, -1)
}

// PutIf implements putter.
func (n *listedNode) PutIf(_ context.Context, key string, value []byte, end int64) error {
	if n.cut {
		return errCut
	}
	return n.log.put(key, value, end)
}

// read has the store answer the node's read, which waits for a change. It proves what was when
// it was sent, and is taken when the process runs.
func (n *listedNode) read() {
	if n.cut {
		n.sent, n.answer = time.Time{}, nil
		return
	}
	if n.sent.IsZero() {
		n.sent = time.Now()
	}
	end := int64(len(n.log.records))
	first := n.next < 0
	if n.answer == nil && (first || n.next < end || time.Since(n.sent) >= nodesWait) {
		n.answer = &follow.Batch{Snapshot: first, ProvenAt: n.sent, Next: end, Records: n.log.newest()}
		if !first {
			n.answer.Records = n.log.records[n.next:]
		}
		n.log.reads++
	}
	if n.frozen || n.answer == nil {
		return
	}
	n.Apply(*n.answer)
	n.next, n.answer, n.sent = n.answer.Next, nil, time.Now()
}

// step has the node do what is due.
func (n *listedNode) step(ctx context.Context) {
	n.read()
	if n.frozen {
		return
	}
	now := time.Now()
	if !now.Before(n.announces) {
		n.announces = now.Add(n.announceOnce(ctx))
	}
	if !now.Before(n.sweepAt) {
		n.sweepAt = now.Add(sweepPause)
		n.sweeper.sweep(ctx, now)
	}
}

// system are nodes that share a list.
type system struct {
	log   *nodesLog
	nodes map[string]*listedNode
	order []*listedNode // in which they were started
}

func newSystem() *system { return &system{log: &nodesLog{}, nodes: make(map[string]*listedNode)} }

// start starts a node, whose address comes from its number.
func (s *system) start(name string, number int, domain string) *listedNode {
	n := &listedNode{log: s.log, next: -1, sweepAt: time.Now().Add(sweepPause)}
	own := nodeEntry{Addr: fmt.Sprintf("10.0.0.%d:7700", 1+number), Domain: domain}
	n.roster = newRoster(name, own, n, func([]peerload.Peer) {}, func(other string) bool { return s.hears(n, other) }, zerolog.Nop())
	n.sweeper = &sweeper{
		roster: n.roster,
		alive:  func(other, domain string, _ time.Duration) bool { return s.hears(n, other) || s.hearsOf(n, domain) },
		hears:  func(time.Duration) bool { return s.hearsAny(n) },
	}
	s.nodes[name] = n
	s.order = append(s.order, n)
	return n
}

// startAll starts so many nodes, in three failure domains, and waits until all are listed.
func (s *system) startAll(t *testing.T, count int) {
	t.Helper()
	for i := range count {
		s.start(fmt.Sprint("n", i), i, fmt.Sprint("d", i%3))
	}
	s.run(t, 2*nodesWait)
	s.agree(t, count)
}

// kill ends a node for good.
func (s *system) kill(name string) { delete(s.nodes, name) }

// run lets time pass.
func (s *system) run(t *testing.T, d time.Duration) {
	t.Helper()
	const step = 100 * time.Millisecond
	for range int(d / step) {
		for _, n := range s.order {
			if s.nodes[n.node] == n {
				n.step(t.Context())
			}
		}
		time.Sleep(step)
	}
}

// agree checks that all nodes count so many.
func (s *system) agree(t *testing.T, count int) {
	t.Helper()
	for name, n := range s.nodes {
		must.Eq(t, count, n.Nodes(), must.Sprint(name))
	}
}

// hears reports whether a node hears another one.
func (s *system) hears(n *listedNode, other string) bool {
	peer := s.nodes[other]
	return peer != nil && peer != n && !n.silent && !peer.silent && !peer.frozen
}

func (s *system) hearsAny(n *listedNode) bool {
	for name := range s.nodes {
		if s.hears(n, name) {
			return true
		}
	}
	return false
}

// hearsOf reports whether a node hears one that speaks for another failure domain, as in large
// systems some do.
func (s *system) hearsOf(n *listedNode, domain string) bool {
	for name, peer := range s.nodes {
		if domain != n.own.Domain && peer.own.Domain == domain && !pace.Whole(peer.Nodes()) && s.hears(n, name) {
			return true
		}
	}
	return false
}
