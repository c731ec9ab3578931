package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/peerload"
)

// noTopic takes no entries.
type noTopic struct{}

func (noTopic) Put(context.Context, string, []byte) error { return nil }

func (noTopic) PutIf(context.Context, string, []byte, int64) error { return nil }

// foreignNodes are records of the topic that name no node.
var foreignNodes = []string{
	"10.0.0.1:7", "{}", "null", "[]", `{"addr":7}`, `{"addr":""}`, `{"addr":"10.0.0.1"}`, `{"addr":"10.0.0.1:0"}`, `{"addr":"0.0.0.0:7"}`,
	`{"addr":"224.0.0.1:7"}`, `{"addr":"node.example:7"}`, `{"addr":"10.0.0.1:7","domain":3}`, "\xff\xfe",
}

// nodeRecord returns the entry of the i-th node, which is in one of three failure domains.
func nodeRecord(t *testing.T, i int, gone bool) follow.Record {
	t.Helper()
	value, err := json.Marshal(nodeEntry{Addr: fmt.Sprintf("10.0.0.%d:7", i+1), Domain: fmt.Sprint("d", i%3), Gone: gone})
	must.NoError(t, err)
	return follow.Record{Key: fmt.Sprint("n", i), Value: value}
}

// rosterOf returns the roster of a node that has read the entries of so many nodes, and
// what it told of its peers.
func rosterOf(t *testing.T, node string, nodes int) (*roster, *[]peerload.Peer) {
	t.Helper()
	told := &[]peerload.Peer{}
	r := newRoster(node, nodeEntry{Addr: "10.0.1.1:7", Domain: "d0"}, noTopic{}, func(peers []peerload.Peer) { *told = peers }, func(string) bool { return true }, zerolog.Nop())
	var batch follow.Batch
	for i := range nodes {
		batch.Records = append(batch.Records, nodeRecord(t, i, false))
	}
	for i, value := range foreignNodes {
		batch.Records = append(batch.Records, follow.Record{Key: fmt.Sprint("of another writer ", i), Value: []byte(value)})
	}
	r.Apply(batch)
	return r, told
}

// TestFewStandBy has all nodes of a small system follow the claim on orders, and a few
// of a large one.
func TestFewStandBy(t *testing.T) {
	for _, tc := range []struct{ nodes, standbys int }{{7, 7}, {85, standbys}} {
		count := 0
		for i := range tc.nodes {
			r, told := rosterOf(t, fmt.Sprint("n", i), tc.nodes)
			test.Eq(t, tc.nodes, r.Nodes())
			test.Len(t, tc.nodes, *told)
			if r.Standby() {
				count++
			}
		}
		test.Eq(t, tc.standbys, count)
	}
}

// TestEntryIsWritten has a node write its entry where another's or none is there.
func TestEntryIsWritten(t *testing.T) {
	r, _ := rosterOf(t, "n1", 3)
	test.True(t, r.missing(), test.Sprint("another address is listed"))
	value, err := json.Marshal(r.own)
	must.NoError(t, err)
	r.Apply(follow.Batch{Records: []follow.Record{{Key: "n1", Value: value}}})
	test.False(t, r.missing())
	r.Apply(follow.Batch{Records: []follow.Record{{Key: "n1"}}})
	test.True(t, r.missing())
	test.Eq(t, 3, r.Nodes(), test.Sprint("it counts itself"))
}

// TestForeignNodes keeps a node that is known where its key holds what names no node, and has
// this node write its own entry again.
func TestForeignNodes(t *testing.T) {
	for _, value := range foreignNodes {
		r, told := rosterOf(t, "n0", 3)
		own, err := json.Marshal(r.own)
		must.NoError(t, err)
		r.Apply(follow.Batch{Records: []follow.Record{{Key: "n0", Value: own}, {Key: "n1", Value: []byte(value)}}})
		test.Eq(t, 3, r.Nodes())
		test.Len(t, 3, *told)
		test.False(t, r.missing())
		r.Apply(follow.Batch{Records: []follow.Record{{Key: "n0", Value: []byte(value)}}})
		test.True(t, r.missing())
		test.Eq(t, 3, r.Nodes(), test.Sprint("it counts itself"))
	}
}

// FuzzDecodeNode: an error, or an address that messages can be sent to.
func FuzzDecodeNode(f *testing.F) {
	for _, value := range foreignNodes {
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
