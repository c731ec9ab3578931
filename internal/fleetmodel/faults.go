package fleetmodel

import (
	"slices"
	"strings"
	"time"

	"github.com/cherryward/cherryward/internal/kvindex"
)

// Fault is a period in which an engine is slow, or down after a crash.
type Fault struct {
	Engine     int // index in Config.Engines
	At, Length time.Duration
	// SlowFactor is by how much steps take longer; 0 for a crash: runs and cached parts are lost,
	// and each send fails at once until the window ends. Nodes learn of it by these failures
	// alone.
	SlowFactor float64
}

// scheduleFaults schedules the begin and the end of each fault.
func (w *World) scheduleFaults() {
	for _, f := range append(w.slowSpells(), w.Faults...) {
		e := w.engines[engineID(f.Engine)]
		w.after(f.At, func() { e.beginFault(f) })
		w.after(f.At+f.Length, func() { e.recover(f) })
	}
}

func (e *engine) beginFault(f Fault) {
	if f.SlowFactor > 0 {
		e.slowFactor = f.SlowFactor
		return
	}
	e.crash()
}

func (e *engine) recover(f Fault) {
	if f.SlowFactor > 0 {
		e.slowFactor = 0
		return
	}
	e.down = false
}

// crash takes the engine down. Its cached parts are lost, and its runs fail.
func (e *engine) crash() {
	e.down, e.busy = true, false
	e.crashes++
	e.world.closeConnections(e.member.ID)
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	keys := make([]kvindex.Part, 0, len(e.cache))
	for key := range e.cache {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b kvindex.Part) int {
		return strings.Compare(a.Salt+" "+a.ID, b.Salt+" "+b.ID)
	})
	for _, key := range keys {
		e.cacheSize -= e.cache[key].tokens
		delete(e.cache, key)
		e.publishChange(key, 0)
	}
	for _, r := range lost {
		r.call.onEngineFailure()
	}
}
