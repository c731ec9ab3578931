package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/bootstrap"
)

// startedTracker returns the cache tracker of a starting node that has read a list of the given
// number of nodes, or has not read the list if the number is 0.
func startedTracker(t *testing.T, name string, nodes int, first bool) *cacheTracker {
	t.Helper()
	v := newView(name)
	v.node.boot.Store(&bootstrap.Node{Name: name, FirstStart: first})
	v.node.log = zerolog.Nop()
	v.node.cacheTracker, v.node.started = v.cacheTracker, v.node.clock.Now()
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i))
	}
	if nodes > 0 {
		v.setNodes(t, names...)
	}
	return v.cacheTracker
}

// TestFewNodesQueryStoresAtStart checks that only four nodes of each failure domain of a large
// system query the stores at a start while the others wait. Nodes of a small system query them at
// once, unless all nodes start for the first time and their number is not yet known.
func TestFewNodesQueryStoresAtStart(t *testing.T) {
	const nodes = 59
	waiting := 0
	for i := range nodes {
		tracker := startedTracker(t, fmt.Sprint("n", i), nodes, false)
		if tracker.shouldAwaitReports(0) {
			waiting++
			test.True(t, tracker.shouldAwaitReports(reportTimeout-1))
			test.False(t, tracker.shouldAwaitReports(reportTimeout), test.Sprint("the other nodes may have failed"))
		}
	}
	test.Eq(t, nodes-domainReaders-domainStandbys, waiting)
	test.True(t, startedTracker(t, "stranger", nodes, false).shouldAwaitReports(0), test.Sprint("its entry is not listed yet"))

	for _, c := range []struct {
		name  string
		nodes int
		first bool
		until time.Duration
	}{
		{"the list has not been read", 0, false, firstListTimeout},
		{"small", 7, false, 0},
		{"all start for the first time", 7, true, firstListTimeout},
		{"many start for the first time", 59, true, firstReportTimeout},
	} {
		tracker := startedTracker(t, "n5", c.nodes, c.first)
		test.Eq(t, c.until > 0, tracker.shouldAwaitReports(c.until-1), test.Sprint(c.name))
		test.False(t, tracker.shouldAwaitReports(c.until), test.Sprint(c.name))
	}
}

// TestMayReadRegistry checks which starting nodes read the whole registry from the store: all nodes of
// a small system that ran before, the readers of a large one, and others only if no reader provides it.
func TestMayReadRegistry(t *testing.T) {
	for _, c := range []struct {
		name  string
		node  string
		nodes int
		first bool
		want  bool
	}{
		{"small, after a restart", "n5", 7, true, true},
		{"small, new node", "stranger", 7, false, true},
		{"small, all start for the first time", "stranger", 7, true, false},
		{"large, after a restart", "n5", 590, false, false},
		{"the list has not been read", "n5", 0, false, false},
	} {
		tracker := startedTracker(t, c.node, c.nodes, c.first)
		test.Eq(t, c.want, tracker.node.mayReadRegistry(), test.Sprint(c.name))
	}
	readers := 0
	for i := range 59 {
		if startedTracker(t, fmt.Sprint("n", i), 59, true).node.mayReadRegistry() {
			readers++
		}
	}
	test.Eq(t, domainReaders+domainStandbys, readers)
}
