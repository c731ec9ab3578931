package brittle

import (
	"sync"

	"github.com/cherryward/cherryward/internal/senders"
)

// Lenders knows which node lends the slots of each endpoint. All nodes with the same member list select the same
// one. It is safe for concurrent use.
type Lenders struct {
	// View returns the nodes from which the lender of the endpoints of a failure domain is selected.
	View func(domain string, lenders int) senders.View

	mu     sync.Mutex
	chosen map[string]lender // by endpoint id
}

// lender is the lender of an endpoint in one generation of the view.
type lender struct {
	generation int64
	node       string
}

// Of returns the lender of an endpoint, or "" if this node's member list is too old.
func (l *Lenders) Of(endpoint, domain string) string {
	view := l.View(domain, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, cached := l.chosen[endpoint]; cached && known.generation == view.Generation {
		return known.node
	}
	if l.chosen == nil || len(l.chosen) >= maxTracked {
		l.chosen = make(map[string]lender)
	}
	next := lender{generation: view.Generation}
	if selected := senders.Select(endpoint, view.Nodes, 1); len(selected) > 0 {
		next.node = selected[0]
	}
	l.chosen[endpoint] = next
	return next.node
}
