package peerload

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "4"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// promptSet is a set of prompts by their numbers.
type promptSet map[int]bool

// digestID identifies a digest of one start of a node.
type digestID struct {
	node        string
	incarnation int64
	seq         int64
}

// modelNode is a node of a failure domain without a network. Its table is the real one.
type modelNode struct {
	name        string
	collects    bool
	table       *Table
	incarnation int64
	seq         int64
	running     promptSet
	// heard are the notices that reached it, and latest the newest known start of each node.
	heard  []heardNotice
	latest map[string]int64
}

type heardNotice struct {
	Notice
	prompt int
	at     time.Time
}

// noticeModel sends prompts, notices, digests and aggregates among nodes, and delivers each message
// once, in any order and after any delay, or never.
type noticeModel struct {
	t       *rapid.T
	now     time.Time
	nodes   []*modelNode
	prompts int
	// inDigest holds the prompts that each digest includes, and inAggregate the digests that the
	// aggregate sent with a digest includes.
	inDigest    map[digestID]promptSet
	inAggregate map[digestID][]digestID
	inTransit   []func()
	restarted   bool
}

func newNoticeModel(t *rapid.T) *noticeModel {
	m := &noticeModel{t: t, now: now, inDigest: make(map[digestID]promptSet), inAggregate: make(map[digestID][]digestID)}
	for i := range 5 {
		m.nodes = append(m.nodes, &modelNode{
			name: fmt.Sprint("n", i), collects: i < 2, table: NewTable(), incarnation: 1, running: make(promptSet), latest: make(map[string]int64),
		})
	}
	return m
}

func (m *noticeModel) any(label string) *modelNode {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, label)]
}

// place starts a prompt at the node and announces it to all others.
func (m *noticeModel) place(n *modelNode) {
	m.prompts++
	prompt := m.prompts
	n.running[prompt] = true
	notice := Notice{Node: n.name, Incarnation: n.incarnation, Seq: n.seq, Endpoint: "e", Start: 3, PromptTokens: 10, HeldTokens: 100}
	for _, to := range m.nodes {
		if to != n {
			m.inTransit = append(m.inTransit, func() { m.receiveNotice(to, notice, prompt) })
		}
	}
}

func (m *noticeModel) receiveNotice(to *modelNode, notice Notice, prompt int) {
	if to.table.RecordNotice(&notice, m.now) == NoticeOutdated {
		must.Greater(m.t, notice.Incarnation, to.latest[notice.Node])
		return
	}
	to.latest[notice.Node] = notice.Incarnation
	to.heard = append(to.heard, heardNotice{notice, prompt, m.now})
}

// end ends a prompt of the node.
func (m *noticeModel) end(n *modelNode) {
	if len(n.running) > 0 {
		delete(n.running, slices.Min(slices.Collect(maps.Keys(n.running))))
	}
}

// restart replaces the node by a new start without prompts.
func (m *noticeModel) restart(n *modelNode) {
	m.restarted = true
	n.incarnation++
	n.seq, n.running, n.table, n.heard, n.latest = 0, make(promptSet), NewTable(), nil, make(map[string]int64)
}

// report sends a digest of the node to the collectors, or from a collector to all nodes with its
// aggregate, as Exchange.send does.
func (m *noticeModel) report(n *modelNode) {
	if n.seq >= ownDigestHistory {
		return // older digests of its own can't be subtracted from an aggregate
	}
	n.seq++
	id := digestID{n.name, n.incarnation, n.seq}
	m.inDigest[id] = maps.Clone(n.running)
	d := &Digest{Node: n.name, Incarnation: n.incarnation, Seq: n.seq}
	if count := len(n.running); count > 0 {
		d.Loads = []Load{{Endpoint: "e", Running: count, PendingPromptTokens: 10 * count, HeldTokens: 100 * count}}
		d.Starts = []StartTag{3}
	}
	n.table.RecordOwnDigest(d, n.collects)
	if n.collects {
		d.Aggregate = n.table.Collect(m.now)
		m.inAggregate[id] = append(m.direct(n), id)
	}
	data, err := json.Marshal(d)
	must.NoError(m.t, err)
	for _, to := range m.nodes {
		if to != n && (n.collects || to.collects) {
			m.inTransit = append(m.inTransit, func() { m.receiveDigest(to, data) })
		}
	}
}

func (m *noticeModel) receiveDigest(to *modelNode, data []byte) {
	var d Digest
	must.NoError(m.t, json.Unmarshal(data, &d))
	must.NoError(m.t, d.check())
	to.table.Record(d, m.now)
	to.latest[d.Node] = max(to.latest[d.Node], d.Incarnation)
}

// direct returns the current digests that the node received from others.
func (m *noticeModel) direct(n *modelNode) (ids []digestID) {
	for _, p := range n.table.peers {
		if m.now.Sub(p.at) <= DigestLifetime {
			ids = append(ids, digestID{p.digest.Node, p.digest.Incarnation, p.digest.Seq})
		}
	}
	return ids
}

// base returns the digests on which the node's view is based.
func (m *noticeModel) base(n *modelNode) []digestID {
	best := n.table.bestAggregate(m.now)
	if best == nil {
		return m.direct(n)
	}
	for id, included := range m.inAggregate {
		if best.key == nodeKey(id.node, id.incarnation) && best.seq == uint32(id.seq) {
			return included
		}
	}
	must.Unreachable(m.t)
	return nil
}

// check compares each node's view with the set of prompts that are in the digests of its base or in
// a notice that none of these supersedes. A prompt that counts twice, or not at all, makes a
// difference. The node's own prompts are in no case part of its view.
func (m *noticeModel) check() {
	for _, n := range m.nodes {
		known := make(promptSet)
		baseSeq := make(map[digestID]int64)
		for _, id := range m.base(n) {
			baseSeq[digestID{id.node, id.incarnation, 0}] = id.seq
			if id.node != n.name || id.incarnation != n.incarnation {
				maps.Copy(known, m.inDigest[id])
			}
		}
		for _, h := range n.heard {
			seq, included := baseSeq[digestID{h.Node, h.Incarnation, 0}]
			if h.Incarnation < n.latest[h.Node] || m.now.Sub(h.at) > DigestLifetime || included && seq > h.Seq {
				continue
			}
			known[h.prompt] = true
		}
		want := Sum{Running: len(known), PendingPromptTokens: 10 * len(known), HeldTokens: 100 * len(known)}
		must.Eq(m.t, want, n.table.Loads(m.now).At("e", 2), must.Sprint(n.name))
	}
}

// deliver delivers or loses the i-th message in transit.
func (m *noticeModel) deliver(i int, lose bool) {
	message := m.inTransit[i]
	m.inTransit = slices.Delete(m.inTransit, i, i+1)
	m.now = m.now.Add(time.Microsecond) // no two aggregates are equally new
	if !lose {
		message()
	}
}

func (m *noticeModel) step() {
	switch kind := rapid.IntRange(0, 19).Draw(m.t, "kind"); {
	case kind < 5:
		m.place(m.any("place"))
	case kind == 5:
		m.end(m.any("end"))
	case kind < 9:
		m.report(m.any("report"))
	case kind == 9:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(m.t, "ms")) * time.Millisecond)
	case kind == 10:
		if node := m.any("restart"); node.seq < ownDigestHistory {
			m.restart(node)
		}
	case len(m.inTransit) > 0:
		m.deliver(rapid.IntRange(0, len(m.inTransit)-1).Draw(m.t, "message"), kind == 11)
	}
}

// TestEachPromptCountsOnce checks that each prompt counts exactly once, whether a node knows it from
// a notice, a digest or an aggregate, in whatever order these arrive, and that after all messages
// have arrived the views match what the nodes have in progress.
func TestEachPromptCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newNoticeModel(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.step()
			m.check()
		}
		for len(m.inTransit) > 0 {
			m.deliver(0, false)
			m.check()
		}
		if m.restarted {
			// Nodes that learn of a restart only from an aggregate, which doesn't name its nodes,
			// count notices of the earlier start until they expire.
			m.now = m.now.Add(DigestLifetime + time.Millisecond)
		}
		for _, n := range slices.Backward(m.nodes) { // the collectors last
			if n.seq >= ownDigestHistory {
				return
			}
			m.report(n)
			m.now = m.now.Add(time.Millisecond)
			for len(m.inTransit) > 0 {
				m.deliver(0, false)
			}
		}
		for _, n := range m.nodes[2:] {
			others := 0
			for _, o := range m.nodes {
				if o != n {
					others += len(o.running)
				}
			}
			must.Eq(t, others, n.table.Loads(m.now).At("e", 2).Running)
		}
	})
}
