package peerload

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"golang.org/x/time/rate"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/fleet"
)

// notice returns a notice of a prompt of 10 tokens at the endpoint e.
func notice(node string, incarnation, seq int64) *Notice {
	return &Notice{Node: node, Incarnation: incarnation, Seq: seq, Endpoint: "e", PromptTokens: 10, HeldTokens: 100}
}

// TestNoticesOutOfRange checks that malformed notices and those of unknown nodes are rejected and
// counted, and have no effect.
func TestNoticesOutOfRange(t *testing.T) {
	for _, text := range []string{
		"null", "{}", "[]", "7", `{"node":7}`, `{"node":"n"}`, `{"node":"n","endpoint":""}`, `{"endpoint":"e"}`, `{"node":"n","endpoint":"e","seq":-1}`,
		`{"node":"n","endpoint":"e","prompt":-1}`, `{"node":"n","endpoint":"e","held":-1}`, `{"node":"n","endpoint":"e","held":9223372036854775807}`,
		`{"node":"n","endpoint":"e","prompt":1e30}`, `{"node":"n","endpoint":"e","start":-1}`, `{"node":"n","endpoint":"e","start":998}`,
	} {
		e := newNoticeReceiver()
		_, err := e.receiveNotice(json.RawMessage(text))
		test.Error(t, err, test.Sprint(text))
		test.Eq(t, 1, e.NoticeStats().Received[NoticeInvalid], test.Sprint(text))
		test.MapEmpty(t, e.Table.Loads(time.Now()).noticed)
	}
	e := newNoticeReceiver()
	for _, node := range []string{"unknown", "own"} {
		data, err := json.Marshal(notice(node, 1, 1))
		must.NoError(t, err)
		_, err = e.receiveNotice(data)
		must.NoError(t, err)
	}
	test.Eq(t, 2, e.NoticeStats().Received[NoticeUnknownNode])
	test.MapEmpty(t, e.Table.Loads(time.Now()).noticed)
}

// newNoticeReceiver returns an exchange of the node "own" whose failure domain has another node "n".
func newNoticeReceiver() *Exchange {
	e := newReceiver()
	e.config.Node = "own"
	e.peers.Store(&recipients{localNames: map[string]bool{"n": true}})
	return e
}

// TestUnknownNodeIsLoggedOnce checks that a node that isn't listed yet doesn't cause a log line for
// each of its notices.
func TestUnknownNodeIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	e := newNoticeReceiver()
	e.log, e.notices.unknownNode = zerolog.New(&lines), rate.Sometimes{Interval: time.Hour}
	data, err := json.Marshal(notice("unknown", 1, 1))
	must.NoError(t, err)
	for range 5 {
		_, err := e.receiveNotice(data)
		must.NoError(t, err)
	}
	test.Eq(t, 1, bytes.Count(lines.Bytes(), []byte("notice_rejected")))
}

// TestRestartDropsNotices checks that notices of an earlier start of a node are dropped as soon as a
// digest or notice of a later start arrives, and that those that arrive afterwards are ignored.
func TestRestartDropsNotices(t *testing.T) {
	for name, later := range map[string]func(*Table){
		"digest": func(table *Table) { table.Record(Digest{Node: "n", Incarnation: 2, Seq: 1}, now) },
		"notice": func(table *Table) { test.Eq(t, NoticeCounted, table.RecordNotice(notice("n", 2, 0), now)) },
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			for range 3 {
				test.Eq(t, NoticeCounted, table.RecordNotice(notice("n", 1, 5), now))
			}
			test.Eq(t, 3, table.Loads(now).Noticed("e", 0))
			later(table)
			known := table.Loads(now).Noticed("e", 0)
			test.Less(t, 2, known)
			test.Eq(t, NoticeOutdated, table.RecordNotice(notice("n", 1, 6), now))
			test.Eq(t, known, table.Loads(now).Noticed("e", 0))
		})
	}
}

// TestOldNoticeOfThawedNode checks that a notice that was delayed, because its sender or receiver was
// frozen, doesn't count again what a later digest includes.
func TestOldNoticeOfThawedNode(t *testing.T) {
	table := NewTable()
	table.Record(digest("n", 1, 7, 1), now)
	test.Eq(t, NoticeIncluded, table.RecordNotice(notice("n", 1, 6), now))
	test.Eq(t, 1, table.Loads(now).At("e", 0).Running)
	test.Eq(t, NoticeCounted, table.RecordNotice(notice("n", 1, 7), now))
	test.Eq(t, 2, table.Loads(now).At("e", 0).Running)
}

// TestSequenceNumberWraps checks that notices are matched to the low 32 bits of sequence numbers, as
// in aggregates, when these start again at 0.
func TestSequenceNumberWraps(t *testing.T) {
	table := NewTable()
	table.Record(digest("n", 1, 1<<32, 1), now)
	test.Eq(t, NoticeIncluded, table.RecordNotice(notice("n", 1, 1<<32-1), now))
	test.Eq(t, NoticeCounted, table.RecordNotice(notice("n", 1, 1<<32), now))
}

// TestPendingNoticesAreBounded checks that a flood of notices takes bounded memory, and ends with
// their lifetime.
func TestPendingNoticesAreBounded(t *testing.T) {
	table := NewTable()
	for range 2 * maxPendingNotices {
		table.RecordNotice(notice("n", 1, 5), now)
	}
	test.Eq(t, maxPendingNotices, table.Loads(now).Noticed("e", 0))
	later := now.Add(DigestLifetime + 1)
	test.Eq(t, 0, table.Loads(later).Noticed("e", 0))
	test.Eq(t, NoticeCounted, table.RecordNotice(notice("n", 1, 5), later))
}

// TestNoticesOfOneStart checks that a notice counts for the start of the endpoint that it names.
func TestNoticesOfOneStart(t *testing.T) {
	table := NewTable()
	n := notice("n", 1, 5)
	n.Start = startTagOf(100)
	table.RecordNotice(n, now)
	test.Eq(t, Sum{Running: 1, PendingPromptTokens: 10, HeldTokens: 100}, table.Loads(now).At("e", 100))
	test.Eq(t, Sum{}, table.Loads(now).At("e", 200))
}

// TestPendingNoticesAreCached checks that a placement doesn't sum the notices again if nothing changed.
func TestPendingNoticesAreCached(t *testing.T) {
	table := NewTable()
	table.Record(Digest{Node: "a", Incarnation: 1, Seq: 1, Aggregate: &Aggregate{Nodes: 1, Included: make([]byte, includedEntryBytes)}}, now)
	table.RecordNotice(notice("n", 1, 5), now)
	test.Eq(t, 1, table.Loads(now).At("e", 0).Running)
	test.Eq(t, 0, testing.AllocsPerRun(100, func() { table.Loads(now).At("e", 0) }))
	test.Eq(t, 0, table.Loads(now.Add(DigestLifetime+1)).At("e", 0).Running)
}

// TestNoticeBytes checks the length on which the limit on bytes rests.
func TestNoticeBytes(t *testing.T) {
	const headers = 28
	longest := &Notice{
		Node: strings.Repeat("n", 20), Incarnation: time.Now().UnixNano(), Seq: 9_999_999, Endpoint: strings.Repeat("e", 20), Start: startTagCount,
		PromptTokens: 9_999_999, HeldTokens: 9_999_999,
	}
	params, err := json.Marshal(longest)
	must.NoError(t, err)
	data, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "method": noticeMethod, "params": json.RawMessage(params)})
	must.NoError(t, err)
	t.Logf("%d bytes", len(data)+headers)
	test.Between(t, noticeBytes*9/10, len(data)+headers, noticeBytes)
}

// TestNoNoticesWithoutCollectors checks that nodes that send their digests to all others, because no
// collector is known, send no notices beside them.
func TestNoNoticesWithoutCollectors(t *testing.T) {
	e, m := newAnnouncer(t, 15)
	announce := func() int {
		for range 20 {
			e.AnnouncePlacement(m, 10, 100)
		}
		return len(e.notices.queue)
	}
	e.notices.setRecipients(e.peers.Load().local, &Role{})
	test.Eq(t, 0, announce())
	e.notices.setRecipients(e.peers.Load().local, &Role{Collectors: []netip.AddrPort{addrOf(1)}})
	test.Positive(t, announce())
}

// BenchmarkRecordNotice measures the time to decode and record one of 320 notices per second, and to
// look up a load afterwards, without load reports that include the prompts.
func BenchmarkRecordNotice(b *testing.B) {
	table, at := NewTable(), now
	data, err := json.Marshal(notice("n", 1, 7))
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		var n Notice
		if err := json.Unmarshal(data, &n); err != nil || n.check() != nil {
			b.Fatal(err)
		}
		at = at.Add(time.Second / 320)
		table.RecordNotice(&n, at)
		table.Loads(at).At("e", 0)
	}
}

// blockedConn is a connection whose sends take until it is released.
type blockedConn struct{ released chan struct{} }

func (blockedConn) Addr() string                    { return "127.0.0.1:1" }
func (blockedConn) Handle(string, datagram.Handler) {}
func (c blockedConn) Notify([]netip.AddrPort, string, any) int {
	<-c.released
	return 0
}

// newAnnouncer returns an exchange on a connection that blocks until it is released, in a failure
// domain with the given number of other nodes and an engine.
func newAnnouncer(t *testing.T, peers int) (*Exchange, *fleet.Member) {
	t.Helper()
	f := fleet.New(zerolog.Nop())
	f.Update(&fleet.Endpoint{ID: "e", Service: "s", Addr: "127.0.0.1:9", Domain: "d0", Weights: []fleet.Weights{{Model: "m", Version: 1}}}, time.Now())
	conn := blockedConn{make(chan struct{})}
	t.Cleanup(func() { close(conn.released) })
	e := New(Config{Node: "own", Domain: "d0", Conn: conn, Members: f.All, Member: f.Member, Role: func() Role { return Role{} }})
	e.notices.domainEngines.Store(1)
	local := make([]netip.AddrPort, peers)
	e.peers.Store(&recipients{local: local, remote: local})
	e.notices.setRecipients(local, &Role{Collects: true})
	return e, f.All()[0]
}

// TestAnnouncePlacementNeverBlocks checks that placements go on if notices can't be sent, and that the
// notices that found no room in the queue are counted.
func TestAnnouncePlacementNeverBlocks(t *testing.T) {
	e, m := newAnnouncer(t, 1)
	go e.sendNotices(t.Context())
	for range 3 * noticeQueueLength {
		e.AnnouncePlacement(m, 10, 100)
	}
	test.GreaterEq(t, noticeQueueLength, e.NoticeStats().Withheld)
	test.False(t, e.NoticesInUse())
}

// TestDigestsIncludeAnnouncedPrompts checks, with prompts that are placed while digests are built,
// that each digest with a later number than a notice includes its prompt.
func TestDigestsIncludeAnnouncedPrompts(t *testing.T) {
	const prompts = 300
	e, m := newAnnouncer(t, 1)
	type report struct {
		seq     int64
		running int
	}
	var reports []report
	done := make(chan struct{})
	go func() {
		defer close(done)
		for e.seq.Load() < 5000 {
			seq, loads := e.readLoads(e.config.Members())
			running := 0
			if len(loads) > 0 {
				running = loads[0].Running
			}
			reports = append(reports, report{seq, running})
		}
	}()
	var seqs []int64
	for range prompts {
		m.Load.Begin(10, 100)
		e.AnnouncePlacement(m, 10, 100)
		select {
		case n := <-e.notices.queue:
			seqs = append(seqs, n.Seq)
		default:
		}
	}
	<-done
	for _, r := range reports {
		announced := 0
		for _, seq := range seqs {
			if seq < r.seq {
				announced++
			}
		}
		must.GreaterEq(t, announced, r.running)
	}
}
