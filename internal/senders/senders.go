// Package senders chooses the few nodes that send to an endpoint which all nodes together may send little,
// and remembers what this one has sent there.
//
// They are chosen by rendezvous hashing over the members of a view that all nodes read from the same place.
// Nothing is told or agreed on for it, so that nodes which are cut off, frozen or just started keep to it
// as well. Two nodes choose the same as long as their views are the same.
package senders

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/coord/rendezvous"
)

// mostTracked bounds the endpoints whose sends are remembered. Those whose windows are over are forgotten
// first.
const mostTracked = 4096

// View is what a node knows of the nodes that may send to an endpoint.
type View struct {
	// Generation changes whenever Nodes may have.
	Generation int64
	// Nodes are their names. None means that this node must send nothing, as others may not count it.
	Nodes []string
}

// Table remembers endpoints by id. It is not safe for concurrent use.
type Table struct {
	Node string // this node's name
	// View returns the nodes that may send to the endpoints of a failure domain, of which so many
	// are to.
	View func(domain string, senders int) View

	records map[string]*Record
}

// Record is what is known of an endpoint.
type Record struct {
	Rank    int         // of this node among the senders, from 0 on; -1 where it isn't one
	Senders int         // how many there are
	Nodes   []string    // among which they were chosen
	Sent    []time.Time // by this node within the window, oldest first

	generation int64
	wanted     int
	window     time.Duration
}

// Record returns what is known of an endpoint, with the rank among so many senders by the newest view, and
// what was sent within a window until now.
func (t *Table) Record(id, domain string, wanted int, window time.Duration, now time.Time) *Record {
	view := t.View(domain, wanted)
	r := t.records[id]
	if r == nil {
		r = &Record{generation: view.Generation - 1}
		t.track(id, r, now)
	}
	if r.generation != view.Generation || r.wanted != wanted {
		r.generation, r.wanted, r.Nodes = view.Generation, wanted, view.Nodes
		chosen := Choose(id, view.Nodes, wanted)
		r.Rank, r.Senders = slices.Index(chosen, t.Node), len(chosen)
	}
	r.window = window
	r.forget(now)
	return r
}

func (t *Table) track(id string, r *Record, now time.Time) {
	if t.records == nil {
		t.records = make(map[string]*Record)
	}
	if len(t.records) >= mostTracked {
		for known, old := range t.records {
			if old.forget(now); len(old.Sent) == 0 {
				delete(t.records, known)
			}
		}
	}
	t.records[id] = r
}

// forget drops the sends that are out of the window.
func (r *Record) forget(now time.Time) {
	r.Sent = slices.DeleteFunc(r.Sent, func(at time.Time) bool { return now.Sub(at) > r.window })
}

// Choose returns so many of the nodes for a key, the first one first; all where there are no more.
func Choose(key string, names []string, most int) []string {
	nodes := make([]rendezvous.Node, len(names))
	for i, name := range names {
		nodes[i] = rendezvous.Node{ID: name, Weight: 1}
	}
	return rendezvous.Top(most, key, nodes)
}
