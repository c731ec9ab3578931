package origin

import (
	"context"
	"sync"
	"time"

	"github.com/cherryward/cherryward/coord/retry"
)

// confirmTimeout bounds a read that confirms the records of releases. The store answers in a few ms.
const confirmTimeout = 500 * time.Millisecond

// confirmer shares reads that confirm a copy among the callers that wait for one. Each caller gets the result of a
// read that was sent after it called: a read that is under way confirms nothing for those that come later.
type confirmer struct {
	read func(ctx context.Context) error
	// spacing returns the least time between the starts of two reads.
	spacing func() time.Duration
	now     func() time.Time
	// timeout bounds a read.
	timeout time.Duration

	mu      sync.Mutex
	reading bool
	next    *pendingRead // of the callers that came since the latest read was sent; nil if there are none
	sentAt  time.Time
}

// pendingRead is a read that has not been sent.
type pendingRead struct {
	done chan struct{}
	err  error // set when done is closed
}

// confirm waits for a read that is sent after the call. It fails if the read does, or if ctx is done before.
func (c *confirmer) confirm(ctx context.Context) error {
	c.mu.Lock()
	if c.next == nil {
		c.next = &pendingRead{done: make(chan struct{})}
	}
	pending := c.next
	if !c.reading {
		c.reading = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case <-pending.done:
		return pending.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run sends reads while callers wait for them.
func (c *confirmer) run() {
	for {
		wait, wanted := c.untilNext()
		if !wanted {
			return
		}
		retry.Sleep(context.Background(), wait)
		c.readOnce()
	}
}

// untilNext returns the time until a read may be sent. wanted is false if nobody waits for one, which ends run.
func (c *confirmer) untilNext() (wait time.Duration, wanted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = c.next != nil
	return c.spacing() - c.now().Sub(c.sentAt), c.reading
}

// readOnce sends the read that callers wait for.
func (c *confirmer) readOnce() {
	c.mu.Lock()
	pending := c.next
	c.next, c.sentAt = nil, c.now()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	pending.err = c.read(ctx)
	close(pending.done)
}
