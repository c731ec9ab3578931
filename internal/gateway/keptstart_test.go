package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/bootstrap"
)

// startOf returns what a node of a failure domain of so many nodes knows when it starts; of none
// where it hasn't read the list.
func startOf(t *testing.T, name string, nodes int, first bool) *keeping {
	t.Helper()
	v := newView(name)
	v.node.boot.Store(&bootstrap.Node{Name: name, First: first})
	v.node.log = zerolog.Nop()
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i))
	}
	if nodes > 0 {
		v.knows(t, names...)
	}
	return v.keeping
}

// TestFewAskStoresAtStart has the nodes of a large system that start leave it to four of them to
// ask the stores, for a while; nodes of a small system ask at once, unless all start for the first
// time and it is not known yet how many there are.
func TestFewAskStoresAtStart(t *testing.T) {
	const nodes = 59
	wait := 0
	for i := range nodes {
		k := startOf(t, fmt.Sprint("n", i), nodes, false)
		if k.mayBeTold(0) {
			wait++
			test.True(t, k.mayBeTold(tellPatience-1))
			test.False(t, k.mayBeTold(tellPatience), test.Sprint("the others may be lost"))
		}
	}
	test.Eq(t, nodes-domainReaders-domainStandbys, wait)
	test.True(t, startOf(t, "stranger", nodes, false).mayBeTold(0), test.Sprint("it isn't listed yet"))

	for _, c := range []struct {
		name  string
		nodes int
		first bool
		until time.Duration
	}{
		{"the list isn't read", 0, false, firstGather},
		{"small", 7, false, 0},
		{"all start for the first time", 7, true, firstGather},
		{"many start for the first time", 59, true, firstPatience},
	} {
		k := startOf(t, "n5", c.nodes, c.first)
		test.Eq(t, c.until > 0, k.mayBeTold(c.until-1), test.Sprint(c.name))
		test.False(t, k.mayBeTold(c.until), test.Sprint(c.name))
	}
}
