package brittle_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/brittle"
)

// TestReportsOfAService checks that one answer tells of all endpoints of its service, that of different numbers the
// lowest counts, and that the report ends some time after the last one.
func TestReportsOfAService(t *testing.T) {
	var r brittle.Reports
	now := time.Unix(1000, 0)
	refusals := func(after time.Duration) int {
		n, isBrittle := r.Refusals("s", now.Add(after))
		if !isBrittle {
			return -1
		}
		return n
	}
	test.Eq(t, -1, refusals(0))
	test.True(t, r.Record("s", 3, now, true))
	test.False(t, r.Record("s", 20, now.Add(time.Second), true), test.Sprint("endpoints differ"))
	test.Eq(t, 3, refusals(9*time.Second))
	test.True(t, r.Record("s", 0, now.Add(9*time.Second), false))
	test.Eq(t, 0, refusals(19*time.Second))
	test.Eq(t, -1, refusals(20*time.Second))
	test.True(t, r.Record("s", 5, now.Add(30*time.Second), true), test.Sprint("after the end of the last report"))
	test.Eq(t, 5, refusals(31*time.Second))
	_, isBrittle := r.Refusals("another", now)
	test.False(t, isBrittle)
}

// TestNodesTellOnlyWhatEndpointsToldThem checks that a report of another node is not told on, which would keep it
// alive for ever.
func TestNodesTellOnlyWhatEndpointsToldThem(t *testing.T) {
	var r brittle.Reports
	now := time.Unix(1000, 0)
	r.Record("heard", 3, now, false)
	test.SliceEmpty(t, r.Told(now))
	r.Record("s", 3, now, true)
	test.Eq(t, []brittle.Report{{Service: "s", Refusals: 3, Age: time.Second}}, r.Told(now.Add(time.Second)))
	test.SliceEmpty(t, r.Told(now.Add(4*time.Second)))
	test.Eq(t, 2, r.Count(now.Add(4*time.Second)))
}

// TestLowerNumberEndsAtAllNodes checks that nodes which tell each other of a low number don't keep it alive once no
// endpoint states it, while the service stays brittle.
func TestLowerNumberEndsAtAllNodes(t *testing.T) {
	for _, count := range []int{2, 6, 85} {
		nodes := make([]brittle.Reports, count)
		now := time.Unix(1000, 0)
		nodes[0].Record("s", 3, now, true)
		for range 300 {
			for i := range nodes {
				nodes[i].Record("s", 20, now, true)
			}
			for i := range nodes {
				for _, told := range nodes[i].Told(now) {
					nodes[(i+1)%count].Record("s", told.Refusals, now.Add(-told.Age), false)
				}
			}
			now = now.Add(100 * time.Millisecond)
		}
		for i := range nodes {
			refusals, isBrittle := nodes[i].Refusals("s", now)
			test.True(t, isBrittle)
			test.Eq(t, 20, refusals, test.Sprint(count, " nodes, node ", i))
		}
	}
}
