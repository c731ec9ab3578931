package fleetmodel

import (
	"slices"
	"strings"
	"time"

	"github.com/cherryward/cherryward/internal/kvindex"
)

// Fault is a window in which an engine is slow, or down after a crash.
type Fault struct {
	Engine     int // position in Config.Engines
	At, Length time.Duration
	// Slow is by how much steps take longer; 0 for a crash: runs and cached parts are lost,
	// and each send fails at once until the window ends. Nodes learn of it by these failures
	// alone.
	Slow float64
}

// scheduleFaults has all faults begin and end.
func (w *World) scheduleFaults() {
	for _, f := range w.Faults {
		e := w.engines[engineID(f.Engine)]
		w.after(f.At, func() { e.begin(f) })
		w.after(f.At+f.Length, func() { e.recover(f) })
	}
}

func (e *engine) begin(f Fault) {
	if f.Slow > 0 {
		e.slow = f.Slow
		return
	}
	e.crash()
}

func (e *engine) recover(f Fault) {
	if f.Slow > 0 {
		e.slow = 0
		return
	}
	e.down = false
}

// crash loses the engine's runs and its memory.
func (e *engine) crash() {
	e.down, e.busy = true, false
	e.crashes++
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
		delete(e.cache, key)
		e.tell(key, 0)
	}
	for _, r := range lost {
		r.call.failed()
	}
}
