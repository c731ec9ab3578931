package follow

import (
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/clock"
)

// heardFor is how long another node's word about an era counts. A wrong word must not keep a node from what the
// store itself says for longer.
const heardFor = 5 * time.Second

// Eras is what a node knows of the eras of a store: the latest one that the store has stated to it, and the latest
// one that other nodes have. Copies of earlier eras are out of date, however recently they were confirmed. A nil
// Eras knows of none. It is safe for concurrent use.
type Eras struct {
	// Stated returns the latest era that the store has stated to this node.
	Stated func() int64
	// Clock is nil for the monotonic clock.
	Clock *clock.Clock

	mu      sync.Mutex
	heard   int64     // from another node
	heardAt time.Time // when it was heard last
	latest  int64     // the latest known era so far
	since   time.Time // when it became known
}

// Hear records that another node has a copy of an era, or knows of it.
func (e *Eras) Hear(era int64) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if era < e.heard && e.hears() {
		return
	}
	e.heard, e.heardAt = era, e.Clock.Now()
	e.known()
}

// Latest returns the latest known era.
func (e *Eras) Latest() int64 {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known()
}

// KnownFor returns the time since the latest known era became known.
func (e *Eras) KnownFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known()
	return e.Clock.Since(e.since)
}

// hears reports whether another node's word counts. e.mu is held.
func (e *Eras) hears() bool { return e.Clock.Since(e.heardAt) < heardFor }

// known returns the latest known era, and records when it became known. e.mu is held.
func (e *Eras) known() int64 {
	latest := e.Stated()
	if e.hears() {
		latest = max(latest, e.heard)
	}
	if latest != e.latest {
		e.latest, e.since = latest, e.Clock.Now()
	}
	return latest
}
