package gateway

import (
	"maps"
	"time"
)

// lostEntries holds the entries of nodes that the store lost when it came back from an older copy. They
// count as listed until their nodes have written them again: a live node may act as one of those that the
// others count for as long as its lease lasts. The zero value holds none.
type lostEntries struct {
	entries map[string]nodeEntry
	until   time.Time // from which they are no longer listed
}

// begin adds the entries known when the store came back. Those that it still has are to be removed.
func (l *lostEntries) begin(known map[string]nodeEntry, until time.Time) {
	l.entries, l.until = maps.Clone(known), until
}

// remove removes an entry of which a record was read.
func (l *lostEntries) remove(node string) { delete(l.entries, node) }

// has reports whether the entry of a node is lost.
func (l *lostEntries) has(node string) bool {
	_, lost := l.entries[node]
	return lost
}

// addTo adds the entries to the listed ones, or removes them from there once their time is over.
func (l *lostEntries) addTo(listed map[string]nodeEntry, now time.Time) {
	if now.Before(l.until) {
		maps.Copy(listed, l.entries)
		return
	}
	for node := range l.entries {
		delete(listed, node)
	}
	clear(l.entries)
}
