package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/standin/modelserver"
)

// arrive has requests that the world's node would have sent reach a model server, the first of which the caller had
// the answer to so long before the others were sent.
func arrive(t *testing.T, w *world, addr string, requests int, before time.Duration) {
	t.Helper()
	for i := range requests {
		id := fmt.Sprint("w", i)
		runAtAs(t, addr, id)
		w.seen.sent[id] = sentWith{at: time.Now()}
		if i == 0 {
			w.seen.heard[id] = heard{"model-1", time.Now().Add(-before)}
		}
	}
}

// TestUnheededWordsAreFound has a model server get requests against what it said, with and without what excuses the
// node.
func TestUnheededWordsAreFound(t *testing.T) {
	const long = drainBound + time.Second
	limited := modelserver.Faults{Limit: limitPerS}
	namedFor := func(w *world, d time.Duration) {
		w.limited.list = []*span{{from: time.Now().Add(-d)}}
	}
	tests := []struct {
		name     string
		faults   modelserver.Faults
		requests int
		before   time.Duration // for which the node has known it
		prepare  func(w *world)
		want     bool
	}{
		{"leaving", modelserver.Faults{Leaving: "1"}, 2, long, nil, true},
		{"leaving, just told", modelserver.Faults{Leaving: "1"}, 2, time.Second, nil, false},
		{"leaving, not told", modelserver.Faults{Leaving: "1"}, 1, long, nil, false},
		{"leaving, node in trouble", modelserver.Faults{Leaving: "1"}, 2, long, func(w *world) { w.nodes[0].harmed.open()() }, false},
		{"limited", limited, limitBound + 2, long, func(w *world) { namedFor(w, long) }, true},
		{"limited, as much as allowed", limited, limitBound, long, func(w *world) { namedFor(w, long) }, false},
		{"limited, just named", limited, limitBound + 2, long, func(w *world) { namedFor(w, time.Second) }, false},
		{"limited, just told", limited, limitBound + 2, 0, func(w *world) { namedFor(w, long) }, false},
		{"limited, node in trouble", limited, limitBound + 2, long, func(w *world) { namedFor(w, long); w.nodes[0].harmed.open()() }, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w, addrs := newCalmWorld(t)
			w.site.Models[0].SetFaults(tc.faults)
			if tc.prepare != nil {
				tc.prepare(w)
			}
			arrive(t, w, addrs[modelProxy], tc.requests, tc.before)
			test.Eq(t, tc.want, len(w.unheeded()) > 0, test.Sprint(w.unheeded()))
		})
	}
}

// TestDisturbedRestsAreFound has a model server get one request more than it may while it rests, and as many as it may.
func TestDisturbedRestsAreFound(t *testing.T) {
	for _, requests := range []int{restBound, restBound + 1} {
		w, addrs := newCalmWorld(t)
		s, link := w.site.Models[0], &proxy{}
		s.SetFaults(modelserver.Faults{Shed: true, Rest: askedRest})
		runAtAs(t, addrs[modelProxy], "asked")
		time.Sleep(restHeeded + restHeeded/5) // the time that the promise leaves
		for i := range requests {
			runAtAs(t, addrs[modelProxy], fmt.Sprint("r", i))
		}
		test.Eq(t, requests > restBound, len(w.disturbed(s, link)) > 0)
		link.harmed.open()()
		link.harmed.list[0].from = time.Now().Add(-time.Minute)
		test.SliceEmpty(t, w.disturbed(s, link))
	}
}
