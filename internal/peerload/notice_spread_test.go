package peerload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

// spread is how evenly the engines of a failure domain are used.
type spread struct{ mean, fullest float64 }

// measureSpread has each node place the given number of prompts per second at the engine of its domain
// with the fewest running requests that it knows of, and returns the mean and the highest number of
// running requests of the engines of one domain, averaged over time.
func (w *network) measureSpread(domain string, perSecond int, runs time.Duration) (s spread) {
	const step, seconds, samples = 5 * time.Millisecond, 4, 200
	random := rand.New(rand.NewPCG(3, 4))
	engines := make(map[*networkNode][]*fleet.Member)
	w.forEachLive(func(n *networkNode) { engines[n] = n.localEngines() })
	for i := range int(seconds * time.Second / step) {
		w.forEachLive(func(n *networkNode) {
			if n.domain != domain || random.Float64() >= float64(perSecond)*step.Seconds() {
				return
			}
			loads := n.Table.Loads(time.Now())
			var best *fleet.Member
			lowest := 0.0
			for _, m := range engines[n] {
				load := float64(m.Load.Running()+loads.At(m.ID, 0).Running) + 0.2*random.Float64()
				if best == nil || load < lowest {
					best, lowest = m, load
				}
			}
			best.Load.Begin(100, 1000)
			n.AnnouncePlacement(best, 100, 1000)
			n.RequestReport()
			time.AfterFunc(time.Duration(float64(runs)*(0.5+random.Float64())), func() { best.Load.End(1000) })
		})
		time.Sleep(step)
		if i < int(seconds*time.Second/step)-samples {
			continue
		}
		running := make(map[string]int)
		w.forEachLive(func(n *networkNode) {
			for _, m := range engines[n] {
				if n.domain == domain {
					running[m.ID] += m.Load.Running()
				}
			}
		})
		sum, highest := 0, 0
		for _, count := range running {
			sum += count
			highest = max(highest, count)
		}
		s.mean += float64(sum) / float64(len(running)) / samples
		s.fullest += float64(highest) / samples
	}
	return s
}

// TestNoticesEvenOutLoad checks that the fullest engine of a domain of 16 nodes runs at most 1.3 times
// the mean, and that it doesn't without notices.
func TestNoticesEvenOutLoad(t *testing.T) {
	for _, lost := range []bool{false, true} {
		runNetwork(t, 32, 2, 45, func(t *testing.T, w *network) {
			if lost {
				w.forEachLive(func(n *networkNode) { n.loses = noticeMethod })
			}
			s := w.measureSpread("d0", 14, 1500*time.Millisecond)
			t.Logf("notices lost: %t, mean %.1f, fullest %.1f", lost, s.mean, s.fullest)
			test.Eq(t, lost, s.fullest > 1.3*s.mean)
		})
	}
}
