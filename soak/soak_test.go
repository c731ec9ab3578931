// Package soak runs gateway nodes as processes before a stand-in of the users'
// platform and harms them from outside, at random: proxies that delay, reset, silence
// and cut connections one way, signals that stop, freeze, kill and restart nodes, a
// metadata store and servers that misbehave. Troubles come in series and overlap. Clients
// go on all the while, over connections that they keep until a node is gone. The promises
// are checked from what clients got and servers ran.
//
//	go test ./soak                          the seeds of CI, some seconds each
//	go test ./soak -seed 7 -minutes 3       one seed
//	go test ./soak -seeds 50 -timeout 1h    fifty seeds from 1 on
//	go test ./soak -seed 7 -nodes 16        a large system, where few nodes read the store
//
// Odd seeds spare the metadata store at first, so that the bounds that hold while it is
// stable can be checked; longer runs do so in turn.
package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/cherryward/cherryward/internal/daemon"
)

var (
	oneSeed = flag.Int64("seed", 0, "run this seed alone")
	seeds   = flag.Int64("seeds", 0, "run so many seeds, from 1 on")
	many    = flag.Int("nodes", fewNodes, "how many nodes")
	minutes = flag.Float64("minutes", 0, "how long a seed runs; 0 means some seconds")
)

const (
	runEnv   = "CHERRYWARD_SOAK_NODE" // makes the test's binary a node
	fewNodes = 3
	// manyNodes is a system in which few nodes read the store for the others.
	manyNodes = 14
	// shortRun is longer than the version bound.
	shortRun = 16 * time.Second
)

// ciSeeds are run by CI, with each seed that ever failed; see REGRESSIONS.md.
var ciSeeds = []int64{1, 2, 16, 42}

func TestMain(m *testing.M) {
	if os.Getenv(runEnv) != "" {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		os.Exit(daemon.Run(ctx, os.Args, daemon.Streams{Out: os.Stdout, Err: os.Stderr}))
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
	for _, seed := range list {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newWorld(t, seed, *many).run() })
	}
}

// TestSoakManyNodes runs the seed of CI for a large system.
func TestSoakManyNodes(t *testing.T) {
	if *oneSeed != 0 || *seeds != 0 {
		t.Skip("seeds were asked for, which TestSoak runs")
	}
	newWorld(t, 3, manyNodes).run()
}
