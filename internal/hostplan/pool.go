package hostplan

import "sync/atomic"

// Pool is a bounded amount of memory. It is safe for concurrent use.
type Pool struct {
	limit int64
	used  atomic.Int64
}

// NewPool returns a pool of limit bytes.
func NewPool(limit int64) *Pool { return &Pool{limit: limit} }

// Limit returns the size of the pool in bytes.
func (p *Pool) Limit() int64 { return p.limit }

// Used returns the number of bytes reserved now.
func (p *Pool) Used() int64 { return p.used.Load() }

// Reserve reserves n bytes. It reports whether there is room for them; at no time is more reserved than the limit.
func (p *Pool) Reserve(n int64) bool {
	for {
		before := p.used.Load()
		if before+n > p.limit {
			return false
		}
		if p.used.CompareAndSwap(before, before+n) {
			return true
		}
	}
}

// Release gives n reserved bytes back.
func (p *Pool) Release(n int64) { p.used.Add(-n) }
