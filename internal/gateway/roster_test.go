package gateway

import (
	"context"
	"encoding/json"
	"fmt"
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

// rosterOf returns the roster of a node that has read the entries of so many nodes, and
// what it told of its peers.
func rosterOf(t *testing.T, node string, nodes int) (*roster, *[]peerload.Peer) {
	t.Helper()
	told := &[]peerload.Peer{}
	r := newRoster(node, nodeEntry{Addr: "own", Domain: "d0"}, noTopic{}, func(peers []peerload.Peer) { *told = peers }, func(string) bool { return true }, zerolog.Nop())
	var batch follow.Batch
	for i := range nodes {
		value, err := json.Marshal(nodeEntry{Addr: fmt.Sprint("a", i), Domain: fmt.Sprint("d", i%3)})
		must.NoError(t, err)
		batch.Records = append(batch.Records, follow.Record{Key: fmt.Sprint("n", i), Value: value})
	}
	batch.Records = append(batch.Records, follow.Record{Key: "of another build", Value: []byte("10.0.0.1:7")})
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
