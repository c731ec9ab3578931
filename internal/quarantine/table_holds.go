package quarantine

import "slices"

// HoldsKnown returns true: a table alone has no other nodes to learn from.
func (t *Table) HoldsKnown() bool { return true }

// addHold adds a hold that another node has. It reports whether that is new or ends later than the one that is known.
func (t *Table) addHold(h *Hold) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateCount()
	if before, known := t.held.Peek(h.Fingerprint); known && !before.Until.Before(h.Until) {
		return false
	}
	t.candidates.Remove(h.Fingerprint)
	t.held.Add(h.Fingerprint, h)
	return true
}

// clearRecorded is Clear for a request whose record was removed. A hold without a record stays, as it is newer.
func (t *Table) clearRecorded(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, held := t.held.Peek(f); !held || h.Recorded {
		t.removeLocked(f)
	}
}

// heldAfter reports whether a request is held because of endings after those of an earlier hold.
func (t *Table) heldAfter(earlier *Hold) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, held := t.held.Peek(earlier.Fingerprint)
	if !held {
		return false
	}
	return slices.ContainsFunc(h.Endpoints, func(e string) bool { return !slices.Contains(earlier.Endpoints, e) })
}
