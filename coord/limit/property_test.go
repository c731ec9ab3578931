package limit

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// runRandomFaults runs a simulation with random faults and returns it.
func runRandomFaults(t *rapid.T, f fault) *simulation {
	settings := DefaultSettings(5)
	settings.Parts = 3
	limits := map[string]Limit{
		"rates": {Requests: 20, Tokens: 900},
		"runs":  {Runs: 12, Requests: 50},
	}
	s := newSimulation(settings, rapid.Uint64().Draw(t, "seed"), limits)
	s.fault = f
	lastNode := len(s.nodes) - 1
	between := func(low, high int) int { return low + s.random.IntN(high-low+1) }
	randomMillis := func(maximum int) time.Duration { return time.Duration(between(1, maximum)) * time.Millisecond }
	for _, n := range s.nodes {
		n.demand["rates"], n.demand["runs"], n.runFor = 30, 10, 2*time.Second
	}
	for range 40 {
		n := s.nodes[between(0, lastNode)]
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0, 1:
			for _, account := range s.accounts {
				n.ownerIndex[account] = between(-1, lastNode)
			}
		case 2, 3:
			s.disconnected[[2]int{n.index, between(0, lastNode)}] = true
		case 4:
			clear(s.disconnected)
			for _, other := range s.nodes {
				clear(other.ownerIndex)
			}
		case 5:
			s.restart(n)
		case 6:
			n.pausedUntil = s.now.Add(randomMillis(8000))
		case 7:
			s.maxDelay = randomMillis(4000) * time.Duration(between(0, 1))
		default:
			n.tokens = float64(between(1, 200))
			n.runFor = randomMillis(9000)
			n.demand["rates"] = float64(between(0, 60))
			n.demand["runs"] = float64(between(0, 30))
		}
		s.run(randomMillis(3000))
	}
	return s
}

// TestBounds checks that random faults (changed owners, partitions, restarts,
// pauses, delays) never make the nodes exceed the documented bounds.
func TestBounds(t *testing.T) {
	var maxExcess Amount
	var admitted int
	rapid.Check(t, func(t *rapid.T) {
		s := runRandomFaults(t, faultNone)
		must.NoError(t, s.violation)
		maxExcess = maxExcess.maxWith(s.maxExcess["rates"])
		admitted += s.admitted["rates"] + s.admitted["runs"]
	})
	t.Logf("maximum excess %v, %d admitted", maxExcess, admitted)
	must.Greater(t, 1000, admitted)
}

// TestBoundsDetectsMissingKeepers checks that the faults of TestBounds make the
// bounds fail if lenders use parts without a grant from the keepers.
func TestBoundsDetectsMissingKeepers(t *testing.T) {
	var detected int
	rapid.Check(t, func(t *rapid.T) {
		if runRandomFaults(t, faultNoKeepers).violation != nil {
			detected++
		}
	})
	t.Logf("detected in %d runs of 40", detected)
	must.GreaterEq(t, 20, detected)
}
