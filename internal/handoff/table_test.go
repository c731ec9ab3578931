package handoff

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/result"
)

const service = "models"

// nodesIn returns nodes in five failure domains, the last of which is in another region if far.
func nodesIn(count int, far bool) []Node {
	nodes := make([]Node, count)
	for i := range nodes {
		domain := i % 5
		nodes[i] = Node{Name: fmt.Sprint("n", i), Addr: fmt.Sprintf("10.%d.%d.%d:1", domain, i/250, i%250), Domain: fmt.Sprint("d", domain), Local: !far || domain < 4}
	}
	return nodes
}

func newTable(name string, nodes []Node, now *time.Time) *Table {
	t := &Table{Name: name, Now: func() time.Time { return *now }, Random: rand.New(rand.NewPCG(1, xxhash.Sum64String(name))).IntN}
	t.SetNodes(nodes)
	return t
}

// TestNodesOfAPartitionedDomainSpreadTheirRequests checks that no node gets far more requests than others
// when a failure domain is partitioned as a whole, and that few nodes are asked in vain.
func TestNodesOfAPartitionedDomainSpreadTheirRequests(t *testing.T) {
	const perNode = 40
	for _, size := range []int{6, 85, 295, 985} {
		now := time.Unix(0, 0)
		nodes := nodesIn(size, false)
		received := make(map[string]int)
		asked, requests := 0, 0
		for _, n := range nodes {
			if n.Domain != "d0" {
				continue
			}
			table := newTable(n.Name, nodes, &now)
			for range perNode {
				requests++
				need := &Need{Service: service}
				for {
					h := table.Acquire(need)
					must.NotNil(t, h)
					asked++
					table.Release(h)
					if h.Domain != "d0" {
						received[h.Name]++
						break
					}
					need.Tried = append(need.Tried, h.Name)
					table.RecordNoPath(h, service)
				}
			}
		}
		most, mean := 0, float64(requests)/float64(size-(size+4)/5)
		for _, n := range received {
			most = max(most, n)
		}
		t.Logf("%d nodes: %.2f asked per request, most %d, mean %.1f", size, float64(asked)/float64(requests), most, mean)
		test.LessEq(t, 1.1, float64(asked)/float64(requests), test.Sprint(size, " nodes"))
		test.LessEq(t, 4*mean, float64(most), test.Sprint(size, " nodes"))
	}
}

func TestHelperWithFewerRequestsIsPreferred(t *testing.T) {
	now := time.Unix(0, 0)
	table := newTable("n0", nodesIn(3, false), &now)
	held := make(map[string]int)
	for range 100 {
		held[table.Acquire(&Need{Service: service}).Name]++
	}
	test.Between(t, 30, held["n1"], 70)
}

func TestRegionIsLeftOnlyIfTheRequestMayAndNoneIsNearer(t *testing.T) {
	now := time.Unix(0, 0)
	nodes := nodesIn(10, true)
	table := newTable("n0", nodes, &now)
	need := &Need{Service: service}
	for range 7 { // the other nodes of the region
		h := table.Acquire(need)
		must.True(t, h.Local)
		need.Tried = append(need.Tried, h.Name)
	}
	far := table.Acquire(need)
	need.Confined = true
	test.Nil(t, table.Acquire(need))
	must.NotNil(t, far)
	test.False(t, far.Local)
}

func TestHelperThatCouldNotHelpIsLeftOutForAWhile(t *testing.T) {
	now := time.Unix(0, 0)
	table := newTable("n0", nodesIn(2, false), &now)
	h := table.Acquire(&Need{Service: service})
	table.RecordNoPath(h, service)
	test.Nil(t, table.Acquire(&Need{Service: service}))
	test.NotNil(t, table.Acquire(&Need{Service: "another"}))
	table.RecordUnavailable(h)
	test.Nil(t, table.Acquire(&Need{Service: "another"}))
	now = now.Add(avoidTime)
	test.NotNil(t, table.Acquire(&Need{Service: service}))
}

func TestOnlyNodesThatAcceptRequestsAndAreHeardAreAsked(t *testing.T) {
	now := time.Unix(0, 0)
	table := newTable("n0", []Node{{Name: "n0", Addr: "10.0.0.1:1", Local: true}, {Name: "older", Local: true}, {Name: "silent", Addr: "10.0.0.2:1", Local: true}}, &now)
	table.Heard = func(node string) bool { return node != "silent" }
	test.Nil(t, table.Acquire(&Need{Service: service}))
}

func TestStreamIsNotPassedToNodeOfOlderBuild(t *testing.T) {
	now := time.Unix(0, 0)
	table := newTable("n0", []Node{{Name: "older", Addr: "10.0.0.1:1", Local: true}}, &now)
	test.NotNil(t, table.Acquire(&Need{Service: service}))
	test.Nil(t, table.Acquire(&Need{Service: service, Continues: true}))
}

func TestUnreadableRefusalMayHaveRun(t *testing.T) {
	for _, text := range []string{"x", `{"code":3013}`, `{"code":3013,"run_state":"perhaps"}`} {
		r := ReadRefusal(map[string][]string{refusalHeader: {text}})
		must.NotNil(t, r)
		test.Eq(t, result.MayHaveRun, r.RunState, test.Sprint(text))
		test.False(t, r.TryOther(), test.Sprint(text))
	}
}
