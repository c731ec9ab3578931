package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/peerload"
)

// announcing makes the placers of nodes of a failure domain announce their prompts to one another.
func announcing(nodes ...*fixture) {
	for i, from := range nodes {
		from.FullMesh = func() bool { return false }
		from.AnnouncePlacement = func(m *fleet.Member, promptTokens, heldTokens int) {
			for j, to := range nodes {
				if i != j {
					to.PeerLoads.RecordNotice(&peerload.Notice{
						Node: string(rune('a' + i)), Incarnation: 1, Seq: 1, Endpoint: m.ID, PromptTokens: promptTokens, HeldTokens: heldTokens,
					}, time.Now())
				}
			}
		}
	}
}

// TestNodesAvoidAnnouncedPrompts checks that two nodes that place in turn between two load reports use
// different engines, and that both prompts count at a third node.
func TestNodesAvoidAnnouncedPrompts(t *testing.T) {
	nodes := []*fixture{newFixture(t, fakeEvents{}, 1, 1), newFixture(t, fakeEvents{}, 1, 1), newFixture(t, fakeEvents{}, 1, 1)}
	announcing(nodes...)
	q := query()
	q.Service.Engine.KVTokens, q.Attributes.PromptTokens = 1_000_000, 11_500
	used := make(map[string]bool)
	for _, n := range nodes[:2] {
		p, ok := n.Place(q)
		must.True(t, ok)
		must.NotNil(t, p.OnSend)
		p.Member.Load.Begin(p.PrefillTokens, p.MemoryTokens)
		p.OnSend()
		used[p.Member.ID] = true
		own := n.PeerLoads.Loads(time.Now())
		test.Eq(t, 0, own.Noticed(p.Member.ID, 0), test.Sprint("own prompts count as this node's only"))
	}
	test.MapLen(t, 2, used)
	loads := nodes[2].PeerLoads.Loads(time.Now())
	for id := range used {
		test.Eq(t, peerload.Sum{Running: 1, PendingPromptTokens: 11_500, HeldTokens: 11_700}, loads.At(id, 0))
	}
	p, ok := nodes[2].Place(q)
	must.True(t, ok)
	test.Eq(t, 1, p.Noticed)
}

// TestReservesLittleMemoryWithNotices checks that a prompt may fill an engine's memory up to 0.98 while
// nodes announce their prompts, and up to 0.85 otherwise.
func TestReservesLittleMemoryWithNotices(t *testing.T) {
	for _, tc := range []struct {
		inUse bool
		held  int
		want  bool
	}{{true, 86_000, true}, {true, 87_000, false}, {false, 73_000, true}, {false, 74_000, false}} {
		fx := newFixture(t, fakeEvents{}, 1)
		fx.FullMesh = func() bool { return false }
		fx.NoticesInUse = func() bool { return tc.inUse }
		q := query()
		q.Service.Engine.KVTokens = 100_000
		q.Attributes.PromptTokens = 11_500
		fx.members[0].Load.Begin(0, tc.held)
		_, ok := fx.Place(q)
		test.Eq(t, tc.want, ok, test.Sprint(tc))
	}
}
