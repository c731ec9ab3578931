package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/peerload"
)

// noTopic discards all entries.
type noTopic struct{}

func (noTopic) Read(_ context.Context, from int64, _ time.Duration) (follow.Page, error) {
	return follow.Page{Next: from}, nil
}

func (noTopic) Put(context.Context, string, []byte) error { return nil }

func (noTopic) PutIf(context.Context, string, []byte, int64) error { return nil }

// invalidEntries are values in the topic that are not valid node entries.
var invalidEntries = []string{
	"10.0.0.1:7", "{}", "null", "[]", `{"addr":7}`, `{"addr":""}`, `{"addr":"10.0.0.1"}`, `{"addr":"10.0.0.1:0"}`, `{"addr":"0.0.0.0:7"}`,
	`{"addr":"224.0.0.1:7"}`, `{"addr":"node.example:7"}`, `{"addr":"10.0.0.1:7","domain":3}`, "\xff\xfe",
}

// entryRecord returns the entry of the i-th node, which is in one of three failure domains.
func entryRecord(t *testing.T, i int, gone bool) follow.Record {
	t.Helper()
	value, err := json.Marshal(nodeEntry{Addr: fmt.Sprintf("10.0.0.%d:7", i+1), Domain: fmt.Sprint("d", i%3), Gone: gone})
	must.NoError(t, err)
	return follow.Record{Key: fmt.Sprint("n", i), Value: value}
}

// rosterWith returns the roster of a node that has read the entries of the given number of nodes
// and some invalid ones, and the peers that it last reported.
func rosterWith(t *testing.T, node string, nodes int) (*roster, *[]peerload.Peer) {
	t.Helper()
	peers := &[]peerload.Peer{}
	r := newRoster(node, nodeEntry{Addr: "10.0.1.1:7", Domain: "d0"}, noTopic{}, func(list []peerload.Peer) { *peers = list }, func(string) bool { return true }, zerolog.Nop())
	var batch follow.Batch
	for i := range nodes {
		batch.Records = append(batch.Records, entryRecord(t, i, false))
	}
	for i, value := range invalidEntries {
		batch.Records = append(batch.Records, follow.Record{Key: fmt.Sprint("of another writer ", i), Value: []byte(value)})
	}
	r.Apply(batch)
	return r, peers
}

// TestStandbyCount checks that all nodes of a small system are standbys for the claim on orders,
// and a few of a large one.
func TestStandbyCount(t *testing.T) {
	for _, tc := range []struct{ nodes, standbys int }{{7, 7}, {85, orderStandbys}} {
		count := 0
		for i := range tc.nodes {
			r, peers := rosterWith(t, fmt.Sprint("n", i), tc.nodes)
			test.Eq(t, tc.nodes, r.Nodes())
			test.Len(t, tc.nodes, *peers)
			if r.Standby() {
				count++
			}
		}
		test.Eq(t, tc.standbys, count)
	}
}

// TestOwnEntryOutdated checks that a node writes its entry if it is missing or differs.
func TestOwnEntryOutdated(t *testing.T) {
	r, _ := rosterWith(t, "n1", 3)
	test.True(t, r.ownEntryOutdated(), test.Sprint("a different address is listed"))
	value, err := json.Marshal(r.own)
	must.NoError(t, err)
	r.Apply(follow.Batch{Records: []follow.Record{{Key: "n1", Value: value}}})
	test.False(t, r.ownEntryOutdated())
	r.Apply(follow.Batch{Records: []follow.Record{{Key: "n1"}}})
	test.True(t, r.ownEntryOutdated())
	test.Eq(t, 3, r.Nodes(), test.Sprint("it counts itself"))
}

// TestInvalidEntries checks that an invalid entry under another node's key leaves that node listed,
// and that one under this node's key makes it write its entry again.
func TestInvalidEntries(t *testing.T) {
	for _, value := range invalidEntries {
		r, peers := rosterWith(t, "n0", 3)
		own, err := json.Marshal(r.own)
		must.NoError(t, err)
		r.Apply(follow.Batch{Records: []follow.Record{{Key: "n0", Value: own}, {Key: "n1", Value: []byte(value)}}})
		test.Eq(t, 3, r.Nodes())
		test.Len(t, 3, *peers)
		test.False(t, r.ownEntryOutdated())
		r.Apply(follow.Batch{Records: []follow.Record{{Key: "n0", Value: []byte(value)}}})
		test.True(t, r.ownEntryOutdated())
		test.Eq(t, 3, r.Nodes(), test.Sprint("it counts itself"))
	}
}

// FuzzDecodeNode checks that decodeNode returns an error or an address to which messages can be
// sent.
func FuzzDecodeNode(f *testing.F) {
	for _, value := range invalidEntries {
		f.Add([]byte(value))
	}
	f.Add([]byte(`{"addr":"10.0.0.1:7","domain":"d"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		e, err := decodeNode(value)
		if err != nil {
			return
		}
		addr, err := netip.ParseAddrPort(e.Addr)
		must.NoError(t, err)
		test.True(t, addr.Port() > 0 && !addr.Addr().IsUnspecified() && !addr.Addr().IsMulticast())
	})
}
