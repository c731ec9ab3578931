package peerload

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/weights"
)

var now = time.Unix(1000, 0)

func digest(node string, incarnation, seq int64, running int) Digest {
	return Digest{Node: node, Incarnation: incarnation, Seq: seq, Loads: []Load{{Endpoint: "e", Running: running, PendingPromptTokens: 10 * running}}}
}

func TestTableSumsFreshDigests(t *testing.T) {
	table := NewTable()
	table.Record(digest("a", 1, 1, 2), now)
	table.Record(digest("b", 1, 1, 3), now.Add(DigestLifetime/2))
	test.Eq(t, Sum{Running: 5, PendingPromptTokens: 50}, table.Loads(now.Add(DigestLifetime/2)).At("e", 0))
	test.Eq(t, 3, table.Loads(now.Add(DigestLifetime+DigestLifetime/4)).At("e", 0).Running, test.Sprint("the digest of a has expired"))
}

// TestTableDropsOldDigests checks that a delayed datagram doesn't replace a newer one.
func TestTableDropsOldDigests(t *testing.T) {
	table := NewTable()
	table.Record(digest("a", 2, 5, 2), now)
	table.Record(digest("a", 2, 4, 9), now)
	table.Record(digest("a", 1, 99, 9), now)
	test.Eq(t, 2, table.Loads(now).At("e", 0).Running)
	table.Record(digest("a", 3, 1, 7), now)
	test.Eq(t, 7, table.Loads(now).At("e", 0).Running, test.Sprint("a restarted"))
}

// TestNodesNeverDecreases checks that a node that receives nothing doesn't take the others' shares.
func TestNodesNeverDecreases(t *testing.T) {
	table := NewTable()
	test.Eq(t, 1, table.Nodes())
	table.Record(digest("a", 1, 1, 0), now)
	table.Record(digest("b", 1, 1, 0), now)
	test.Eq(t, 3, table.Nodes())
	table.Record(digest("a", 1, 2, 0), now.Add(time.Hour))
	test.Eq(t, 3, table.Nodes())
}

func TestClosedExpires(t *testing.T) {
	table := NewTable()
	d := digest("a", 1, 1, 0)
	d.Emptied, d.Loading, d.ForMs = []string{"e"}, []string{"f"}, 500
	table.Record(d, now)
	closed := table.Closed(now.Add(400 * time.Millisecond))
	test.Eq(t, map[string]bool{"e": false, "f": true}, closed)
	test.MapEmpty(t, table.Closed(now.Add(600*time.Millisecond)))
}

// TestReceiveDigest checks that valid digests are recorded and malformed ones are rejected.
func TestReceiveDigest(t *testing.T) {
	e := newTestExchange(t, "n0", "d0", &atomic.Bool{})
	want := digest("a", 1, 2, 3)
	data, err := json.Marshal(want)
	must.NoError(t, err)
	_, err = e.receiveDigest(data)
	must.NoError(t, err)
	test.Eq(t, want, e.Table.peers["a"].digest)
	for _, text := range []string{"", "[]", `{"node":1}`} {
		_, err := e.receiveDigest([]byte(text))
		test.Error(t, err, test.Sprint(text))
	}
}

// TestPeerDigestAge checks that a node counts as active until its last digest is too old.
func TestPeerDigestAge(t *testing.T) {
	table := NewTable()
	table.Record(digest("a", 1, 1, 0), now)
	test.True(t, table.ReceivedFrom("a", now.Add(time.Second), 2*time.Second))
	test.False(t, table.ReceivedFrom("a", now.Add(2*time.Second), 2*time.Second))
	test.False(t, table.ReceivedFrom("b", now, 2*time.Second))
}

// TestFailuresNeedSeveralReporters checks that one node with a network problem of its own can't
// divert the others from an endpoint.
func TestFailuresNeedSeveralReporters(t *testing.T) {
	table := NewTable()
	receive := func(node string, failures int) {
		d := digest(node, 1, 1, 1)
		d.Loads[0].Failures = failures
		table.Record(d, now)
	}
	receive("a", 60)
	test.Eq(t, 0, table.Loads(now).At("e", 0).FailureRate())
	receive("b", 40)
	test.Eq(t, 0.5, table.Loads(now).At("e", 0).FailureRate())
}

// TestLoadsRoundTrip checks the array encoding of loads, and that other arrays are rejected.
func TestLoadsRoundTrip(t *testing.T) {
	want := []Load{{Endpoint: "e", Running: 1, PendingPromptTokens: 2, HeldTokens: 3, Failures: 4}, {Endpoint: "f"}}
	data, err := json.Marshal(want)
	must.NoError(t, err)
	test.Eq(t, `[["e",1,2,3,4],["f",0,0,0,0]]`, string(data))
	var got []Load
	must.NoError(t, json.Unmarshal(data, &got))
	test.Eq(t, want, got)
	for _, wrong := range []string{`[["e",1,2,3]]`, `[["e",1,2,3,4,5]]`, `[["e",1,2,3,"x"]]`, `[{}]`} {
		test.Error(t, json.Unmarshal([]byte(wrong), &got), test.Sprint(wrong))
	}
}

func TestClaimExpires(t *testing.T) {
	table := NewTable()
	d := digest("a", 1, 1, 0)
	d.Leads = true
	table.Record(d, now)
	test.True(t, table.ClaimHeld(now.Add(time.Second/2), time.Second))
	test.False(t, table.ClaimHeld(now.Add(time.Second), time.Second))
	table.Record(digest("a", 1, 2, 0), now)
	test.False(t, table.ClaimHeld(now, time.Second), test.Sprint("the newer digest doesn't hold the claim"))
}

// newTestExchange returns an exchange on a local socket, for a node that gives orders while leads
// is true.
func newTestExchange(t *testing.T, node, domain string, leads *atomic.Bool) *Exchange {
	t.Helper()
	conn, err := datagram.Listen("127.0.0.1:0", zerolog.Nop())
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return New(Config{
		Node: node, Domain: domain, Conn: conn, Log: zerolog.Nop(),
		Members:    func() []*fleet.Member { return nil },
		Late:       func() []Late { return nil },
		References: func() []OldestReferenced { return nil },
		Neighbours: func() Neighbours { return Neighbours{Represents: true} },
		Orders:     func() ([]weights.Closed, bool) { return []weights.Closed{{Endpoint: "x", Loads: true}}, leads.Load() },
	})
}

// TestRecipients checks that in a large system a node's load goes to its failure domain only.
func TestRecipients(t *testing.T) {
	for _, tc := range []struct{ nodes, local, remote int }{{7, 6, 0}, {85, 42, 42}} {
		e := newTestExchange(t, "n0", "d0", &atomic.Bool{})
		peers := []Peer{{Addr: e.config.Conn.Addr(), Domain: "d0"}, {Addr: "no address", Domain: "d0"}}
		for i := 1; i < tc.nodes; i++ {
			peers = append(peers, Peer{Addr: fmt.Sprintf("127.0.0.1:%d", 1000+i), Domain: fmt.Sprint("d", i%2)})
		}
		e.SetPeers(peers)
		test.Eq(t, tc.local, e.localCount())
		test.Len(t, tc.remote, e.peers.Load().remote)
		test.Eq(t, tc.nodes == 7, e.FullMesh())
	}
}

// TestOrdersReachOtherDomains checks that a node of another failure domain receives which engines
// are loading and that the claim was given up, and nothing from a node without orders.
func TestOrdersReachOtherDomains(t *testing.T) {
	var leads atomic.Bool
	sender, receiver := newTestExchange(t, "n0", "d0", &leads), newTestExchange(t, "n1", "d1", &atomic.Bool{})
	sender.peers.Store(&recipients{remote: []netip.AddrPort{netip.MustParseAddrPort(receiver.config.Conn.Addr())}})
	go func() { _ = receiver.config.Conn.(*datagram.Conn).Run(t.Context()) }()
	received := func(leads bool) func() bool {
		return func() bool {
			sender.send()
			now := time.Now()
			return receiver.Table.ClaimHeld(now, time.Minute) == leads && (!leads || receiver.Table.Closed(now)["x"])
		}
	}
	sender.send()
	sender.send()
	test.Eq(t, 1, receiver.Table.Nodes(), test.Sprint("the sender gives no orders"))
	for _, step := range []bool{true, false} {
		leads.Store(step)
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(received(step)), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
	}
}

// TestLateNeedsSeveralReporters checks that a holder's lateness is the mean of the reports of
// several peers, and that one report doesn't count.
func TestLateNeedsSeveralReporters(t *testing.T) {
	table := NewTable()
	for i, ms := range []int{300, 500} {
		d := digest(fmt.Sprint("n", i), 1, 1, 1)
		d.Late = []Late{{Addr: "s", MS: ms}}
		table.Record(d, now)
		if i == 0 {
			test.MapEmpty(t, table.Late(now))
		}
	}
	test.Eq(t, map[string]float64{"s": 400}, table.Late(now))
	test.MapEmpty(t, table.Late(now.Add(2*DigestLifetime)))
}

// TestLoadReachesOtherDomains checks that nodes of other failure domains receive the requests in
// progress at engines there, and their end.
func TestLoadReachesOtherDomains(t *testing.T) {
	f := fleet.New(zerolog.Nop())
	for i, domain := range []string{"d0", "d1", "d1"} {
		e := &fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Addr: "127.0.0.1:1", Domain: domain}
		if i < 2 {
			e.Weights = []fleet.Weights{{Model: "m", Version: 1}}
		}
		f.Update(e, now)
	}
	sender, receiver := newTestExchange(t, "n0", "d0", &atomic.Bool{}), newTestExchange(t, "n1", "d1", &atomic.Bool{})
	sender.config.Members = f.All
	sender.peers.Store(&recipients{remote: []netip.AddrPort{netip.MustParseAddrPort(receiver.config.Conn.Addr())}})
	go func() { _ = receiver.config.Conn.(*datagram.Conn).Run(t.Context()) }()
	for _, m := range f.All() {
		m.Load.Begin(10, 100)
	}
	received := func(want int) func() bool {
		return func() bool {
			sender.send()
			loads := receiver.Table.Loads(time.Now())
			return loads.At("e1", 0).HeldTokens == want && loads.At("e0", 0).HeldTokens == 0 && loads.At("e2", 0).HeldTokens == 0 && receiver.Table.Nodes() == 2
		}
	}
	for _, want := range []int{100, 0} {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(received(want)), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
		for _, m := range f.All() {
			m.Load.End(m.Load.HeldTokens())
		}
	}
}

// TestDomainReferences checks that a domain's digest holds the oldest version that any of its nodes
// references, once all have reported one, and that the domain's watermark lasts.
func TestDomainReferences(t *testing.T) {
	near := NewTable()
	own := []OldestReferenced{{Model: "m", Oldest: 3}}
	test.SliceEmpty(t, near.DomainReferences(own, []string{"a", "b"}))
	for i, oldest := range []int64{3, 2} {
		d := digest([]string{"a", "b"}[i], 1, 1, 0)
		d.References = []OldestReferenced{{Model: "m", Oldest: oldest}}
		near.Record(d, now)
	}
	test.Eq(t, []OldestReferenced{{Model: "m", Oldest: 2}}, near.DomainReferences(own, []string{"a", "b"}))
	test.SliceEmpty(t, near.DomainReferences(own, []string{"a", "b", "silent"}))
	test.Eq(t, own, near.DomainReferences(own, nil), test.Sprint("no other nodes"))

	far := NewTable()
	abc := MembersOf("c", "a", "b")
	far.RecordDomainDigest(DomainDigest{Node: "a", Domain: "d0", Incarnation: 1, Seq: 1, Members: abc, References: []OldestReferenced{{Model: "m", Oldest: 2}}}, now)
	far.RecordDomainDigest(DomainDigest{Node: "b", Domain: "d0", Incarnation: 1, Seq: 1, Members: abc}, now.Add(time.Second))
	since, ok := far.UnreferencedInDomainSince("d0", MembersOf("a", "b", "c"), "m", 1)
	test.True(t, ok)
	test.Eq(t, now, since)
	for _, no := range []struct {
		domain  string
		members Members
		version int64
	}{{"d0", MembersOf("a", "b", "c", "d"), 1}, {"d0", abc, 2}, {"d1", abc, 1}, {"d0", MembersOf("a", "b"), 1}} {
		_, ok = far.UnreferencedInDomainSince(no.domain, no.members, "m", no.version)
		test.False(t, ok, test.Sprint(no))
	}
}

// TestReplacedNodeResetsWatermark checks that a failure domain's watermark from before one of its
// nodes was replaced doesn't count for the new set of nodes, although their number is the same.
func TestReplacedNodeResetsWatermark(t *testing.T) {
	far := NewTable()
	references := []OldestReferenced{{Model: "m", Oldest: 2}}
	far.RecordDomainDigest(DomainDigest{Node: "a", Domain: "d0", Incarnation: 1, Seq: 1, Members: MembersOf("a", "b", "gone"), References: references}, now)
	successors := MembersOf("a", "b", "new")
	_, ok := far.UnreferencedInDomainSince("d0", successors, "m", 1)
	test.False(t, ok)
	reportedAt := now.Add(time.Second)
	for i := range int64(3) {
		at := reportedAt.Add(time.Duration(i) * time.Second)
		far.RecordDomainDigest(DomainDigest{Node: "a", Domain: "d0", Incarnation: 1, Seq: 2 + i, Members: successors, References: references}, at)
	}
	since, ok := far.UnreferencedInDomainSince("d0", successors, "m", 1)
	test.True(t, ok)
	test.Eq(t, reportedAt, since)
}
