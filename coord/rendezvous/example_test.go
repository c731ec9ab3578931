package rendezvous_test

import (
	"fmt"

	"github.com/cherryward/cherryward/coord/rendezvous"
)

// Every process that uses the same nodes computes the same owner, and the removal of a node moves
// only the keys that it owned. Here n1 owns none of the keys, so no owner changes.
func Example() {
	nodes := []rendezvous.Node{{ID: "n1", Weight: 1}, {ID: "n2", Weight: 1}, {ID: "n3", Weight: 2}}
	for _, key := range []string{"melt-1", "melt-2", "melt-3"} {
		before, _ := rendezvous.Owner(key, nodes)
		after, _ := rendezvous.Owner(key, nodes[1:])
		fmt.Println(key, before, "without n1:", after)
	}
	fmt.Println("two places of melt-1:", rendezvous.Top(2, "melt-1", nodes))
	// Output:
	// melt-1 n3 without n1: n3
	// melt-2 n3 without n1: n3
	// melt-3 n2 without n1: n2
	// two places of melt-1: [n3 n1]
}
