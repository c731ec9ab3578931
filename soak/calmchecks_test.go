package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// began is when the histories of these tests begin.
var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func second(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }

// between returns periods from pairs of seconds.
func between(seconds ...float64) (list []*span) {
	for i := 0; i+1 < len(seconds); i += 2 {
		list = append(list, &span{second(seconds[i]), second(seconds[i+1])})
	}
	return list
}

// weightsHistory returns a world of the shape haba whose servers were sampled in each second up to end. Version 2
// was named at second 0; of 30 servers, the first ones in number have version 1 throughout.
func weightsHistory(old int, end float64) *world {
	w := &world{bounds: shapes["haba"].bounds, versions: []targetVersion{{2, began}}, proxies: []*proxy{{}}}
	for s := 0.0; s <= end; s++ {
		now := sample{at: second(s)}
		for i := range 30 {
			state := serverState{id: fmt.Sprint("model-", i+1), version: 2, started: second(-100)}
			if i < old {
				state.version = 1
			}
			now.servers = append(now.servers, state)
		}
		w.samples = append(w.samples, now)
	}
	return w
}

// setFirst changes the states of the first servers in all samples.
func (w *world) setFirst(number int, set func(*serverState)) {
	for i := range w.samples {
		for j := range number {
			set(&w.samples[i].servers[j])
		}
	}
}

// TestDetectsServersLeftOld checks that servers which are left on replaced weights at the end are detected, once
// there are too many of them for the bound of stable time since the weights were named and since they started.
func TestDetectsServersLeftOld(t *testing.T) {
	const bound = 22.5 // s, 1.5 times that on replaced weights
	for _, tc := range []struct {
		name    string
		old     int
		end     float64
		prepare func(w *world)
		want    int
	}{
		{"over a tenth", 4, bound + 1, func(*world) {}, 1},
		{"a tenth", 3, bound + 1, func(*world) {}, 0},
		{"too early", 4, bound - 1, func(*world) {}, 0},
		{"store disturbed at the end", 4, bound + 1, func(w *world) { w.storeDisturbances.list = between(bound-2, bound-1) }, 0},
		{"store disturbed before", 4, bound + 6, func(w *world) { w.storeDisturbances.list = between(-3, 0) }, 1},
		{"stable window after the store's disturbance", 4, bound + 3, func(w *world) { w.storeDisturbances.list = between(-3, 0) }, 0},
		{"link disturbed", 4, bound + 1, func(w *world) { w.proxies[0].disturbances.list = between(5, 7) }, 0},
		{"short stretches count", 4, 2*bound + 3, func(w *world) {
			for s := 1.0; s < 2*bound; s += 2 {
				w.proxies[0].disturbances.list = append(w.proxies[0].disturbances.list, between(s, s+1)...)
			}
		}, 1},
		{"just started", 4, bound + 1, func(w *world) { w.setFirst(1, func(s *serverState) { s.started = second(10) }) }, 0},
		{"leaving", 4, bound + 1, func(w *world) { w.setFirst(2, func(s *serverState) { s.leaves = true }) }, 0},
		{"another version named later", 4, bound + 1, func(w *world) { w.versions = append(w.versions, targetVersion{3, second(bound)}) }, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := weightsHistory(tc.old, tc.end)
			tc.prepare(w)
			test.Len(t, tc.want, w.leftOld())
		})
	}
}

// TestDetectsServersOldTooLong checks that servers with replaced weights are detected at any time at which stable
// stretches of two seconds or more add up to the bound on all servers, also if they are loaded later.
func TestDetectsServersOldTooLong(t *testing.T) {
	const bound = 21 // s
	// disturb leaves stretches of the given length.
	disturb := func(w *world, length float64) {
		for s := length; s < 200; s += length + 1 {
			w.proxies[0].disturbances.list = append(w.proxies[0].disturbances.list, between(s, s+1)...)
		}
	}
	for _, tc := range []struct {
		name    string
		old     int
		end     float64
		prepare func(w *world)
		want    int
	}{
		{"over a tenth", 4, bound, func(*world) {}, 1},
		{"a tenth", 3, bound, func(*world) {}, 0},
		{"too early", 4, bound - 1, func(*world) {}, 0},
		{"stretches of two seconds", 4, 33, func(w *world) { disturb(w, 2) }, 1},
		{"shorter stretches", 4, 100, func(w *world) { disturb(w, 1.9) }, 0},
		{"loaded later", 4, bound + 1, func(w *world) {
			last := w.samples[len(w.samples)-1].servers
			for i := range last {
				last[i].version = 2
			}
		}, 1},
		{"store disturbed", 4, bound, func(w *world) { w.storeDisturbances.list = between(-1, 0) }, 0},
		{"just started", 4, bound, func(w *world) { w.setFirst(1, func(s *serverState) { s.started = second(1) }) }, 0},
		{"no bound", 4, bound, func(w *world) { w.bounds.VersionAll = 0 }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := weightsHistory(tc.old, tc.end)
			tc.prepare(w)
			test.Len(t, tc.want, w.oldTooLong())
		})
	}
}

// TestDetectsTooLittleServed checks that a calm span in which less than a quarter of the requests is served is
// detected, unless a fault acted in it or within the stable window before.
func TestDetectsTooLittleServed(t *testing.T) {
	for _, tc := range []struct {
		name    string
		oneIn   int // requests of which one is served
		prepare func(w *world)
		want    bool
	}{
		{"less than a quarter", 5, func(*world) {}, true},
		{"a quarter", 4, func(*world) {}, false},
		{"none", 1000, func(*world) {}, true},
		{"fault acts", 5, func(w *world) { w.acting.list = between(9, 9.1) }, false},
		{"fault ended before", 5, func(w *world) { w.acting.list = between(-1, 1) }, true},
		{"stable window after the fault", 5, func(w *world) { w.acting.list = between(1, 8) }, false},
		{"store disturbed", 5, func(w *world) { w.storeDisturbances.list = between(9, 9.1) }, false},
		{"node starts", 5, func(w *world) { w.nodes[0].disturbances.list = between(9, 9.1) }, false},
		{"few requests", 5, func(w *world) {
			var few []outcome
			for i := 0; i < len(w.observed.outcomes); i += 18 {
				few = append(few, outcome{at: w.observed.outcomes[i].at})
			}
			w.observed.outcomes = few
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := &world{bounds: shapes["haba"].bounds, observed: newObserved(), nodes: []*process{{}}}
			for i := range 200 {
				w.observed.outcomes = append(w.observed.outcomes, outcome{at: second(float64(i) / 10), served: i%tc.oneIn == tc.oneIn-1})
			}
			tc.prepare(w)
			test.Eq(t, tc.want, len(w.servedTooLittle()) > 0, test.Sprint(w.servedTooLittle()))
		})
	}
}
