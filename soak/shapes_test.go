package soak

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

// maxNodes is the number of nodes of the largest deployment that fits on one machine.
const maxNodes = 64

// shape is the size of a system and the bounds that its operator sets.
type shape struct {
	name    string
	nodes   int
	servers int
	zones   []string // over which nodes and model servers are spread; empty means those of the stand-in
	// loadTime is the time that a model server takes for new weights while at most one in loadShare of
	// them load at once; 0 means none.
	loadTime  time.Duration
	loadShare int
	bounds    site.Bounds
}

// The shapes. Small is a site that sets nothing. The others have the values of the deployments' pages: nodes
// ("Machines"), servers, load time and loads at once ("Engines"), zones ("Places") and bounds ("Bounds").
var (
	small = shape{name: "small", nodes: fewNodes, servers: 3, bounds: site.DefaultBounds()}

	shapes = map[string]shape{
		"small": small,
		// 24 of 64 nodes and 30 of 90 servers, of which a fifth load at once.
		"haba": {
			name: "haba", nodes: 24, servers: 30, zones: []string{"kl-a", "kl-b", "kl-c", "kl-d"},
			loadTime: 1100 * time.Millisecond, loadShare: 5,
			bounds: site.Bounds{
				Drain: 3 * time.Second, Grace: 8 * time.Second, ConfigApply: 3 * time.Second, Revoke: 5 * time.Second,
				StableWindow: 4 * time.Second, Lease: 3 * time.Second, Thaw: 300 * time.Millisecond, Evacuate: 5 * time.Second,
				Version: 15 * time.Second, VersionAll: 21 * time.Second, Budget: 168,
			},
		},
		"darkhan":    foundry("darkhan", 6, 52, "hall-north", "hall-east", "hall-south"),
		"kylmavahti": foundry("kylmavahti", 7, 54, "vantaa-hall", "espoo-hall", "kerava-hall"),
	}
)

// foundry returns a shape of nine servers, of which two load at once.
func foundry(name string, nodes, budget int, zones ...string) shape {
	return shape{
		name: name, nodes: nodes, servers: 9, zones: zones, loadTime: 1300 * time.Millisecond, loadShare: 4,
		bounds: site.Bounds{
			Drain: 2 * time.Second, Grace: 8 * time.Second, ConfigApply: 2 * time.Second, Revoke: 5 * time.Second,
			StableWindow: 3 * time.Second, Lease: 3 * time.Second, Thaw: 300 * time.Millisecond, Evacuate: 5 * time.Second,
			Version: 12 * time.Second, VersionAll: 17 * time.Second, Budget: budget,
		},
	}
}

// requestedShape returns the shape that the flags request.
func requestedShape(t *testing.T) shape {
	s, ok := shapes[*shapeName]
	must.True(t, ok, must.Sprintf("no shape %q; there are %v", *shapeName, slices.Sorted(maps.Keys(shapes))))
	if *nodeCount > 0 {
		s.nodes = *nodeCount
	}
	if *serverCount > 0 {
		s.servers = *serverCount
	}
	must.LessEq(t, maxNodes, s.nodes)
	return s
}

// withNodes returns the shape with another number of nodes.
func (s shape) withNodes(nodes int) shape {
	s.nodes = nodes
	return s
}

// releases returns the releases of the model servers' software: every third server has another one.
func (s *shape) releases() []string {
	var list []string
	for i := range s.servers {
		list = append(list, [...]string{firstRelease, otherRelease, firstRelease}[i%3])
	}
	return list
}

// loads returns the source of the model servers' weights.
func (s *shape) loads() *modelserver.Loads {
	if s.loadTime == 0 {
		return nil
	}
	return &modelserver.Loads{Time: s.loadTime, AtOnce: max(s.servers/s.loadShare, 1)}
}

// bootFile returns the boot file of the i-th node.
func (w *world) bootFile(i int) string {
	name := fmt.Sprint("n", i)
	if len(w.shape.zones) == 0 {
		return w.site.BootFile(name)
	}
	return w.site.BootFileIn(name, w.shape.zones[i%len(w.shape.zones)])
}
