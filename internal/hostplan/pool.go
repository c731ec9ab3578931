package hostplan

import "sync/atomic"

// Pool is a bounded amount, of memory in bytes or of descriptors. It is safe for concurrent use.
type Pool struct {
	limit int64
	used  atomic.Int64
}

// NewPool returns a pool of the given size.
func NewPool(limit int64) *Pool { return &Pool{limit: limit} }

// Limit returns the size of the pool.
func (p *Pool) Limit() int64 { return p.limit }

// Used returns what is reserved now.
func (p *Pool) Used() int64 { return p.used.Load() }

// Reserve reserves n. It reports whether there is room; at no time is more reserved than the limit.
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

// Release gives n back that were reserved.
func (p *Pool) Release(n int64) { p.used.Add(-n) }
