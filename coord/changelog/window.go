package changelog

import "maps"

// generationSize is the number of change ids in one generation of the window. Two
// generations are kept, so at least the last generationSize ids are tracked. The
// value affects the outcomes of changes, so it must be the same on all nodes.
const generationSize = 4096

// dedupWindow holds the outcomes of recent changes by id, to detect repeated
// records. Its contents depend only on the log.
type dedupWindow struct {
	// evictedUpTo is the offset of the newest change whose id was evicted.
	evictedUpTo int64
	// maxOldOffset is the highest offset in old.
	maxOldOffset int64
	// young holds the ids of the current generation, old those of the generation
	// before it.
	young, old map[string]Outcome
}

func newDedupWindow() *dedupWindow {
	return &dedupWindow{young: make(map[string]Outcome), old: make(map[string]Outcome)}
}

func (w *dedupWindow) get(id string) (Outcome, bool) {
	if o, ok := w.young[id]; ok {
		return o, true
	}
	o, ok := w.old[id]
	return o, ok
}

// add adds an outcome. If the young generation is full, the old one is evicted.
func (w *dedupWindow) add(id string, o Outcome) {
	if len(w.young) >= generationSize {
		w.evictedUpTo = w.maxOldOffset
		w.old = w.young
		w.maxOldOffset = w.findMaxOldOffset()
		w.young = make(map[string]Outcome)
	}
	w.young[id] = o
}

// findMaxOldOffset returns the highest offset in the old generation.
func (w *dedupWindow) findMaxOldOffset() int64 {
	var top int64
	for _, o := range w.old {
		top = max(top, o.Offset)
	}
	return top
}

// expired reports whether a change made at an offset could be a retry of a change
// whose id was evicted.
func (w *dedupWindow) expired(since int64) bool { return since < w.evictedUpTo }

func (w *dedupWindow) clone() *dedupWindow {
	c := *w
	c.young = maps.Clone(w.young)
	c.old = maps.Clone(w.old)
	return &c
}
