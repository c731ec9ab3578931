// Package soak runs gateway nodes as processes against a stand-in for the users' platform, and
// injects random faults from outside: proxies delay, reset or drop the data of connections in one or
// both directions, signals suspend, terminate, kill and reload nodes, and the metadata store and the
// servers misbehave, and so do crowds of callers. Faults occur in sequences and overlap. Meanwhile clients send requests over
// persistent connections. The guarantees are checked from the responses that clients received and
// the requests that servers ran.
//
//	go test ./soak                          the seeds of CI, some seconds each
//	go test ./soak -seed 7 -minutes 3       one seed
//	go test ./soak -seeds 50 -timeout 1h    seeds 1 to 50
//	go test ./soak -seed 7 -nodes 16        a large system, in which only a few nodes read the store
//	go test ./soak -seed 7 -shape haba      in the shape of a deployment; see shapes_test.go
//
//	go test ./soak -seed 7 -releases only   the faults of releases_test.go alone
//	go test ./soak -seed 7 -releases amid   with those of releaseorders_test.go
//	go test ./soak -seed 7 -releases never  the same servers from start to end
//
// Releases of the model servers' software come in, go out and return while nodes are cut off or killed together; see
// releases_test.go. With odd seeds, faults of the metadata store start later, so that the bounds that hold while it is
// stable are checked first. Longer runs alternate between both phases.
package soak

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cherryward/cherryward/internal/daemon"
)

var (
	oneSeed   = flag.Int64("seed", 0, "run only this seed")
	seeds     = flag.Int64("seeds", 0, "run the seeds from 1 to this number")
	shapeName = flag.String("shape", small.name, "name of the system's shape; see shapes_test.go")
	nodeCount = flag.Int("nodes", 0, "number of nodes; 0 means that of the shape")
	// serverCount is the number of model servers.
	serverCount = flag.Int("servers", 0, "number of model servers; 0 means that of the shape")
	keepLogs    = flag.Bool("logs", false, "save the nodes' logs of runs that pass, too")
	releases    = flag.String("releases", changeBeside, "whether the releases of model servers change: beside other faults, only, amid orders of operators and limits, or never")
	minutes     = flag.Float64("minutes", 0, "duration of each seed in minutes; 0 means some seconds")
)

// Whether releases change.
const (
	changeBeside = "beside"
	changeOnly   = "only"
	changeAmid   = "amid" // orders of operators and limits alone
	changeNever  = "never"
)

const (
	// deploymentSeed is the seed of the run in the shape of a deployment, manyNodesSeed that of the large system.
	deploymentSeed = 9
	manyNodesSeed  = 3
	releasesSeed   = 9
	// Every unchangedIn-th seed, and those of CI, have the same servers from start to end.
	unchangedIn = 4

	runEnv   = "CHERRYWARD_SOAK_NODE" // makes the test binary run as a node
	fewNodes = 3
	// manyNodes is enough that only a few nodes read the store for the others.
	manyNodes = 14
	// shortRun is longer than the bound on replaced weights.
	shortRun = 16 * time.Second
)

// ciSeeds are the seeds that CI runs, including all that ever failed; see REGRESSIONS.md.
var ciSeeds = []int64{1, 2, 16, 42, 119}

func TestMain(m *testing.M) {
	if os.Getenv(runEnv) != "" {
		os.Exit(daemon.Main(os.Args))
	}
	flag.Parse()
	os.Exit(m.Run())
}

func TestSoak(t *testing.T) {
	list := ciSeeds
	if *oneSeed != 0 {
		list = []int64{*oneSeed}
	}
	for seed := int64(1); seed <= *seeds; seed++ {
		if seed == 1 {
			list = nil
		}
		list = append(list, seed)
	}
	s := requestedShape(t)
	for _, seed := range list {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newWorld(t, seed, s, changes(seed)).run() })
	}
}

// TestSoakManyNodes runs one seed with a large system.
func TestSoakManyNodes(t *testing.T) {
	if *oneSeed != 0 || *seeds != 0 {
		t.Skip("the requested seeds run in TestSoak")
	}
	newWorld(t, manyNodesSeed, small.withNodes(manyNodes), changeNever).run()
}

// TestSoakDeployment runs one seed with a system of the shape of a deployment.
func TestSoakDeployment(t *testing.T) {
	if *oneSeed != 0 || *seeds != 0 {
		t.Skip("the requested seeds run in TestSoak")
	}
	newWorld(t, deploymentSeed, shapes["haba"], changeNever).run()
}

// TestSoakReleases runs one seed in which releases change without other faults.
func TestSoakReleases(t *testing.T) {
	if *oneSeed != 0 || *seeds != 0 {
		t.Skip("the requested seeds run in TestSoak")
	}
	newWorld(t, releasesSeed, small, changeOnly).run()
}

// changes returns whether the releases of a seed change.
func changes(seed int64) string {
	if *releases == changeBeside && (seed%unchangedIn == 0 || slices.Contains(ciSeeds, seed)) {
		return changeNever
	}
	return *releases
}
