package soak

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/standin/modelserver"
)

// sendAsNode sends requests to a model server and records them as sent by the world's node. The
// response to the first one is recorded as received the given time before the others were sent.
func sendAsNode(t *testing.T, w *world, addr string, requests int, before time.Duration) {
	t.Helper()
	for i := range requests {
		id := fmt.Sprint("w", i)
		runAtAs(t, addr, id)
		w.observed.sent[id] = sentRequest{at: time.Now()}
		if i == 0 {
			w.observed.received[id] = received{"model-1", time.Now().Add(-before)}
		}
	}
}

// TestDetectsIgnoredSignals checks that requests which violate a limit or the draining state that a
// model server reported are detected, unless the node could not observe the report in time.
func TestDetectsIgnoredSignals(t *testing.T) {
	long := max(small.bounds.Drain, small.bounds.StableWindow) + time.Second
	limited := modelserver.Faults{Limit: limitPerS}
	limitedFor := func(w *world, d time.Duration) {
		w.limited.list = []*span{{from: time.Now().Add(-d)}}
	}
	brittle := modelserver.Faults{Brittle: strconv.Itoa(brittleRefusals), RejectRequests: true}
	brittleFor := func(w *world, d time.Duration) {
		w.brittle.list = []*span{{from: time.Now().Add(-d)}}
	}
	tests := []struct {
		name     string
		faults   modelserver.Faults
		requests int
		before   time.Duration // time since the node received the signal
		prepare  func(w *world)
		want     bool
	}{
		{"leaving", modelserver.Faults{Draining: "1"}, 2, long, nil, true},
		{"draining, signal just received", modelserver.Faults{Draining: "1"}, 2, time.Second, nil, false},
		{"draining, signal not received", modelserver.Faults{Draining: "1"}, 1, long, nil, false},
		{"draining, node has faults", modelserver.Faults{Draining: "1"}, 2, long, func(w *world) { w.nodes[0].disturbances.open()() }, false},
		{"limited", limited, limitBound + 2, long, func(w *world) { limitedFor(w, long) }, true},
		{"limited, at most the allowed number", limited, limitBound, long, func(w *world) { limitedFor(w, long) }, false},
		{"limited, limit just set", limited, limitBound + 2, long, func(w *world) { limitedFor(w, time.Second) }, false},
		{"limited, limit just received", limited, limitBound + 2, 0, func(w *world) { limitedFor(w, long) }, false},
		{"brittle", brittle, brittleRefusals + 2, long, func(w *world) { brittleFor(w, long) }, true},
		{"brittle, as many as it bears", brittle, brittleRefusals + 1, long, func(w *world) { brittleFor(w, long) }, false},
		{"brittle, just begun", brittle, brittleRefusals + 2, long, func(w *world) { brittleFor(w, time.Second) }, false},
		{"limited, node has faults", limited, limitBound + 2, long, func(w *world) { limitedFor(w, long); w.nodes[0].disturbances.open()() }, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w, addrs := newIdleWorld(t)
			w.site.Models[0].SetFaults(tc.faults)
			if tc.prepare != nil {
				tc.prepare(w)
			}
			sendAsNode(t, w, addrs[modelProxy], tc.requests, tc.before)
			test.Eq(t, tc.want, len(w.ignoredSignals()) > 0, test.Sprint(w.ignoredSignals()))
		})
	}
}

// TestDetectsIgnoredRetryAfter checks that one request more than allowed during a server's Retry-After
// is detected, that the allowed number is not, and that faults of the link excuse the node.
func TestDetectsIgnoredRetryAfter(t *testing.T) {
	for _, requests := range []int{maxDuringRetryAfter, maxDuringRetryAfter + 1} {
		w, addrs := newIdleWorld(t)
		s, link := w.site.Models[0], &proxy{}
		s.SetFaults(modelserver.Faults{RejectRequests: true, RetryAfter: retryAfterSeconds})
		runAtAs(t, addrs[modelProxy], "asked")
		time.Sleep(retryAfterDelay + retryAfterDelay/5) // the guarantee applies after this delay
		for i := range requests {
			runAtAs(t, addrs[modelProxy], fmt.Sprint("r", i))
		}
		test.Eq(t, requests > maxDuringRetryAfter, len(w.ignoredRetryAfter(s, link)) > 0)
		link.disturbances.open()()
		link.disturbances.list[0].from = time.Now().Add(-time.Minute)
		test.SliceEmpty(t, w.ignoredRetryAfter(s, link))
	}
}
