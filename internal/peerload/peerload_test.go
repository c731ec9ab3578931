package peerload

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var now = time.Unix(1000, 0)

func digest(node string, incarnation, seq int64, running int) Digest {
	return Digest{Node: node, Incarnation: incarnation, Seq: seq, Loads: []Load{{Endpoint: "e", Running: running, Reading: 10 * running}}}
}

func TestTableSumsFreshDigests(t *testing.T) {
	table := NewTable()
	table.Take(digest("a", 1, 1, 2), now)
	table.Take(digest("b", 1, 1, 3), now.Add(Fresh/2))
	test.Eq(t, Load{Running: 5, Reading: 50}, table.Loads(now.Add(Fresh / 2))["e"])
	test.Eq(t, 3, table.Loads(now.Add(Fresh + Fresh/4))["e"].Running, test.Sprint("a's is too old"))
}

// TestTableDropsOldDigests keeps a late datagram from undoing a newer one.
func TestTableDropsOldDigests(t *testing.T) {
	table := NewTable()
	table.Take(digest("a", 2, 5, 2), now)
	table.Take(digest("a", 2, 4, 9), now)
	table.Take(digest("a", 1, 99, 9), now)
	test.Eq(t, 2, table.Loads(now)["e"].Running)
	table.Take(digest("a", 3, 1, 7), now)
	test.Eq(t, 7, table.Loads(now)["e"].Running, test.Sprint("a restarted"))
}

// TestNodesNeverShrink keeps a node that hears nobody from taking the others' shares.
func TestNodesNeverShrink(t *testing.T) {
	table := NewTable()
	test.Eq(t, 1, table.Nodes())
	table.Take(digest("a", 1, 1, 0), now)
	table.Take(digest("b", 1, 1, 0), now)
	test.Eq(t, 3, table.Nodes())
	table.Take(digest("a", 1, 2, 0), now.Add(time.Hour))
	test.Eq(t, 3, table.Nodes())
}

func TestClosedExpires(t *testing.T) {
	table := NewTable()
	d := digest("a", 1, 1, 0)
	d.Closed = []Closed{{Endpoint: "e", ForMs: 500}, {Endpoint: "f", Loads: true, ForMs: 500}}
	table.Take(d, now)
	closed := table.Closed(now.Add(400 * time.Millisecond))
	test.Eq(t, map[string]bool{"e": false, "f": true}, closed)
	test.MapEmpty(t, table.Closed(now.Add(600*time.Millisecond)))
}

func TestEncoding(t *testing.T) {
	want := digest("a", 1, 2, 3)
	data, err := encode(&want)
	must.NoError(t, err)
	got, err := decode(data)
	must.NoError(t, err)
	test.Eq(t, want, got)
	for _, text := range []string{"", "{}", `{"method":"other","params":{}}`, `{"method":"node.load"}`} {
		_, err := decode([]byte(text))
		test.Error(t, err, test.Sprint(text))
	}
}
