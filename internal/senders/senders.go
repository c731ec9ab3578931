// Package senders selects the few nodes that send to an endpoint with a limit across all nodes, and
// records what this node has sent there.
//
// Senders are selected by rendezvous hashing over a member list that all nodes read from the same
// source. This needs no communication between nodes, so it also works on nodes that are partitioned,
// were frozen or have just started. Two nodes select the same senders as long as their member lists are
// the same.
package senders

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/coord/rendezvous"
)

// maxTracked is the number of tracked endpoints at which those without sends in their window are removed
// before another one is added.
const maxTracked = 4096

// View is a node's list of the nodes that may send to an endpoint.
type View struct {
	// Generation changes whenever Nodes may have changed.
	Generation int64
	// Nodes are the nodes' names. If empty, this node must send nothing, because other nodes may not
	// count it as a sender.
	Nodes []string
}

// Table holds a Record per endpoint id. It is not safe for concurrent use.
type Table struct {
	Node string // this node's name
	// View returns the nodes from which the given number of senders for the endpoints of a failure
	// domain is selected.
	View func(domain string, senders int) View

	records map[string]*Record
}

// Record is this node's state for an endpoint.
type Record struct {
	Rank    int         // rank of this node among the senders, from 0; -1 if it is not one
	Senders int         // number of senders
	Nodes   []string    // nodes from which the senders were selected
	Sent    []time.Time // sends of this node in the window, oldest first

	generation int64
	count      int
	window     time.Duration
}

// Record returns the record of an endpoint. Its rank is this node's rank among count senders, selected
// from the latest view, and Sent holds the sends in the window that ends now.
func (t *Table) Record(id, domain string, count int, window time.Duration, now time.Time) *Record {
	view := t.View(domain, count)
	r := t.records[id]
	if r == nil {
		r = &Record{generation: view.Generation - 1}
		t.add(id, r, now)
	}
	if r.generation != view.Generation || r.count != count {
		r.generation, r.count, r.Nodes = view.Generation, count, view.Nodes
		chosen := Select(id, view.Nodes, count)
		r.Rank, r.Senders = slices.Index(chosen, t.Node), len(chosen)
	}
	r.window = window
	r.expire(now)
	return r
}

func (t *Table) add(id string, r *Record, now time.Time) {
	if t.records == nil {
		t.records = make(map[string]*Record)
	}
	if len(t.records) >= maxTracked {
		for other, old := range t.records {
			if old.expire(now); len(old.Sent) == 0 {
				delete(t.records, other)
			}
		}
	}
	t.records[id] = r
}

// expire removes the sends before the window.
func (r *Record) expire(now time.Time) {
	r.Sent = slices.DeleteFunc(r.Sent, func(at time.Time) bool { return now.Sub(at) > r.window })
}

// Select returns the given number of nodes for a key, in order of their rank, or all if there are
// fewer.
func Select(key string, names []string, count int) []string {
	nodes := make([]rendezvous.Node, len(names))
	for i, name := range names {
		nodes[i] = rendezvous.Node{ID: name, Weight: 1}
	}
	return rendezvous.Top(count, key, nodes)
}

// Share returns the part of total of the sender with a rank among count senders: an even part, and one more
// for the first ranks if total doesn't divide evenly. It is 0 for a negative rank.
func Share(total, rank, count int) int {
	if rank < 0 {
		return 0
	}
	share := total / count
	if rank < total%count {
		share++
	}
	return share
}
