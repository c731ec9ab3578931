package gateway

import (
	"context"
	"net/http"
	"sync"
)

// requestCount counts the requests in progress at a server. The zero value counts none.
type requestCount struct {
	mu      sync.Mutex
	running int
	none    chan struct{} // closed when none is running; nil if nobody waits
}

// counted returns a handler that passes requests to next and counts them.
func (c *requestCount) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.add(1)
		defer c.add(-1)
		next.ServeHTTP(w, r)
	})
}

func (c *requestCount) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += n
	if c.running == 0 && c.none != nil {
		close(c.none)
		c.none = nil
	}
}

// wait waits until no request is in progress, or ctx is done. It must not be called again before it returns.
func (c *requestCount) wait(ctx context.Context) {
	c.mu.Lock()
	if c.running == 0 {
		c.mu.Unlock()
		return
	}
	none := make(chan struct{})
	c.none = none
	c.mu.Unlock()
	select {
	case <-none:
	case <-ctx.Done():
	}
}
