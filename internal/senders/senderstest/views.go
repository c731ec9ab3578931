// Package senderstest provides nodes with different member lists, for tests of what they send.
package senderstest

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cherryward/cherryward/internal/senders"
)

// Member is a node with its member list.
type Member struct {
	Name string
	View senders.View
}

// Members returns size nodes. The given share of them has just joined; half of the others, at random,
// have not read their entries yet. With a share of 0 all have the same list.
func Members(random *rand.Rand, size int, joining float64) []*Member {
	var old, all []string
	for i := range size {
		name := fmt.Sprint("n", i)
		all = append(all, name)
		if random.Float64() >= joining {
			old = append(old, name)
		}
	}
	members := make([]*Member, 0, size)
	for _, name := range all {
		m := &Member{Name: name, View: senders.View{Generation: 1, Nodes: old}}
		if random.Float64() < 0.5 || !slices.Contains(old, name) {
			m.View = senders.View{Generation: 2, Nodes: all}
		}
		members = append(members, m)
	}
	return members
}
