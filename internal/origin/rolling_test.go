package origin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
)

// rolling begins and resumes streams at all nodes of a system while they restart in turn.
type rolling struct {
	*recordingSystem
	draws                   *rand.Rand
	down                    map[int]bool
	begun                   []stream
	tried, started          int // tries to begin a stream, and those that succeeded
	resumed, refused, wrong int
}

// TestStreamsGoOnThroughRestartsInTurn checks that streams of two releases begin, and go on at other nodes, while all nodes
// restart one after the other, and that none goes on at another release.
func TestStreamsGoOnThroughRestartsInTurn(t *testing.T) {
	for _, c := range []struct {
		size, restarts int
		gap            time.Duration // between the starts of two nodes
	}{{6, 12, time.Second}, {85, 85, 200 * time.Millisecond}, {985, 24, 100 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.size, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &rolling{recordingSystem: newRecordingSystem(c.size, newPlatformTopic()), down: make(map[int]bool), draws: rand.New(rand.NewPCG(uint64(c.size), 2))}
				r.loss = lossRate
				r.set("v1")
				r.set("v2")
				r.run(t, 2*settleTime)
				for _, n := range r.nodes {
					n.copied.Store(true)
				}
				for i := range c.restarts {
					r.restartInTurn(t, i%c.size, c.gap)
				}
				t.Logf("%d of %d streams begun, %d resumed, %d refused, %d wrong", r.started, r.tried, r.resumed, r.refused, r.wrong)
				test.Zero(t, r.wrong)
				test.GreaterEq(t, r.resumed+r.refused, 2*r.resumed*r.tried/max(1, r.started))
			})
		})
	}
}

// restartInTurn ends a node, starts it again and has streams begin and go on meanwhile.
func (r *rolling) restartInTurn(t *testing.T, i int, gap time.Duration) {
	n := r.nodes[i]
	n.silent.Store(true)
	r.down[i] = true
	r.traffic(t, i)
	time.Sleep(gap / 2)
	n.silent.Store(false)
	delete(r.down, i)
	r.restartNode(i)
	n.copied.Store(false)
	go n.copyRecords(t.Context())
	r.recorders[i].step(t.Context())
	r.traffic(t, i)
	time.Sleep(gap / 2)
}

// traffic begins a stream at some nodes and resumes earlier ones at others.
func (r *rolling) traffic(t *testing.T, turn int) {
	for j := range 6 {
		at := (turn + j*len(r.nodes)/6) % len(r.nodes)
		if r.down[at] {
			continue
		}
		release := fmt.Sprint("v", 1+j%2)
		r.tried++
		if r.gates[at].MayBegin(service, release) {
			r.started++
			k := KeyOf("yard", fmt.Sprint("rolling", r.started))
			r.nodes[at].Record(k, Origin{service, release})
			r.nodes[at].resend()
			r.begun = append(r.begun, stream{k, release, time.Now()})
		}
	}
	for j := range 6 {
		at := (turn + 1 + j*len(r.nodes)/6) % len(r.nodes)
		if len(r.begun) == 0 || r.down[at] {
			continue
		}
		b := r.begun[r.draws.IntN(len(r.begun))]
		if time.Since(b.at) > retention {
			continue
		}
		switch found := r.nodes[at].Find(t.Context(), b.key, service); {
		case found.Source == NotFound:
			r.refused++
		case found.Release != b.release:
			r.wrong++
		default:
			r.resumed++
		}
	}
}
