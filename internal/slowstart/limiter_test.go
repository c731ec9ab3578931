package slowstart_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"github.com/cherryward/cherryward/internal/slowstart"
)

// TestShares checks that two sets of senders keep within the bound, and that one set uses half
// of it, rounded down to a multiple of the number of senders.
func TestShares(t *testing.T) {
	for _, tc := range []struct {
		maxPerSecond int
		want         slowstart.Share
	}{
		{0, slowstart.Share{}}, {1, slowstart.Share{Senders: 1, PerSender: 1}}, {2, slowstart.Share{Senders: 1, PerSender: 1}},
		{5, slowstart.Share{Senders: 2, PerSender: 1}}, {16, slowstart.Share{Senders: 4, PerSender: 2}}, {32, slowstart.Share{Senders: 4, PerSender: 4}},
	} {
		test.Eq(t, tc.want, slowstart.ShareOf(tc.maxPerSecond), test.Sprint(tc.maxPerSecond))
	}
	rapid.Check(t, func(t *rapid.T) {
		maxPerSecond := rapid.IntRange(2, 10_000).Draw(t, "most")
		s := slowstart.ShareOf(maxPerSecond)
		test.LessEq(t, maxPerSecond, 2*s.Senders*s.PerSender)
		test.GreaterEq(t, maxPerSecond/2-s.Senders+1, s.Senders*s.PerSender)
	})
}

func limiter(node string, nodes ...string) (*slowstart.Limiter, *slowstart.View) {
	view := &slowstart.View{Generation: 1, Nodes: nodes}
	return &slowstart.Limiter{Node: node, View: func(string, int) slowstart.View { return *view }}, view
}

// TestWindow checks that a node sends its share in a window, and again after it.
func TestWindow(t *testing.T) {
	l, _ := limiter("a", "a")
	e := &slowstart.Endpoint{ID: "e", MaxPerSecond: 16}
	now := time.Now()
	for i := range 5 {
		test.Eq(t, i < 2, l.Allows(e, now))
		test.Eq(t, i < 2, l.Take(e, now.Add(time.Duration(i)*100*time.Millisecond)))
	}
	test.False(t, l.Take(e, now.Add(time.Second)))
	test.True(t, l.Take(e, now.Add(1150*time.Millisecond)))
	test.False(t, l.Take(e, now.Add(1150*time.Millisecond)))
	test.True(t, l.Take(&slowstart.Endpoint{ID: "f", MaxPerSecond: 16}, now), test.Sprint("another endpoint"))
}

// TestNodeOutsideViewSendsNothing checks that a node sends nothing while its member list lacks it or is
// empty, as other nodes may not count it, and that it follows changes of the list.
func TestNodeOutsideViewSendsNothing(t *testing.T) {
	l, view := limiter("a", "b", "c")
	e := &slowstart.Endpoint{ID: "e", MaxPerSecond: 16}
	now := time.Now()
	test.False(t, l.Take(e, now))
	*view = slowstart.View{Generation: 2, Nodes: []string{"a", "b", "c"}}
	test.True(t, l.Take(e, now))
	*view = slowstart.View{Generation: -1}
	test.False(t, l.Take(e, now))
}
