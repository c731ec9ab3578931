package changelog

import (
	"sync"
	"time"
)

// contact knows how long ago the log was last read, by this node or by one that
// it heard from. Ages, not times of day, pass between nodes: the age grows while
// a node holds it, also while it offers a notice in vain, and by the whole time of
// a pull, so clocks needn't agree. Only the time on the wire of a notice that
// arrives is not counted: noticeTimeout at most for each node on its way, once for
// each read of the log.
type contact struct {
	mu     sync.Mutex
	log    time.Time // when somebody last read the log
	heard  time.Time // when this node last heard from the log or a peer
	notice time.Time // when a notice was last sent or received
	known  int64     // newest offset heard of
	ever   bool      // whether log was ever set
}

func newContact() *contact {
	now := time.Now()
	return &contact{log: now, heard: now, notice: now}
}

// readLog notes a read of the log that began at a time.
func (c *contact) readLog(started time.Time, known int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ever = true
	c.log = later(c.log, started)
	c.heard = later(c.heard, started)
	c.known = max(c.known, known)
}

// heardPeer notes what a peer told about its contact with the log.
func (c *contact) heardPeer(n Notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.heard = now
	c.known = max(c.known, n.Known)
	if n.Age >= 0 {
		c.ever = true
		c.log = later(c.log, now.Add(-n.Age))
	}
}

func (c *contact) noticed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notice = time.Now()
}

func (c *contact) sinceNotice() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.notice)
}

// ageUnknown is the age that a node passes on that knows of no read at all.
const ageUnknown = time.Duration(-1)

// age returns how long ago somebody read the log, to be passed on.
func (c *contact) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ever {
		return ageUnknown
	}
	return time.Since(c.log)
}

// ages returns the time since the last known read of the log and since the last
// word from the log or a peer; before the first ones, since the start.
func (c *contact) ages() (log, heard time.Duration, known int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.log), time.Since(c.heard), c.known
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
