package hostplan

import "sync/atomic"

// Pool is a bounded amount, of memory in bytes or of descriptors. It is safe for concurrent use. A nil *Pool has no bound.
type Pool struct {
	limit  int64
	used   atomic.Int64
	within *Pool // has the same amounts reserved; nil if the pool is no part of another
}

// NewPool returns a pool of the given size.
func NewPool(limit int64) *Pool { return &Pool{limit: limit} }

// Part returns a pool whose size is a share of p's and whose reservations count in p, too.
func (p *Pool) Part(share float64) *Pool { return &Pool{limit: part(p.limit, share), within: p} }

// Limit returns the size of the pool.
func (p *Pool) Limit() int64 { return p.limit }

// Used returns what is reserved now.
func (p *Pool) Used() int64 { return p.used.Load() }

// Reserve reserves n. It reports whether there is room; at no time is more reserved than the limit.
func (p *Pool) Reserve(n int64) bool {
	if p == nil {
		return true
	}
	for {
		before := p.used.Load()
		if before+n > p.limit {
			return false
		}
		if p.used.CompareAndSwap(before, before+n) {
			break
		}
	}
	if !p.within.Reserve(n) {
		p.used.Add(-n)
		return false
	}
	return true
}

// Release gives n back that were reserved.
func (p *Pool) Release(n int64) {
	if p != nil {
		p.used.Add(-n)
		p.within.Release(n)
	}
}

// Reservation is what one user has reserved of a pool. The zero value has reserved nothing, of no pool. It is not safe for
// concurrent use.
type Reservation struct {
	Pool     *Pool
	reserved int64
}

// Resize changes what is reserved to n bytes. It reports whether there is room; without, nothing changes.
func (m *Reservation) Resize(n int64) bool {
	if n > m.reserved && !m.Pool.Reserve(n-m.reserved) {
		return false
	}
	if n < m.reserved {
		m.Pool.Release(m.reserved - n)
	}
	m.reserved = n
	return true
}

// Grow returns data with the given capacity, and reserves that in place of what data took. While data is copied, both
// are reserved. It reports false if there is no room.
func (m *Reservation) Grow(data []byte, size int) (_ []byte, ok bool) {
	if !m.Resize(int64(cap(data) + size)) {
		return nil, false
	}
	grown := append(make([]byte, 0, size), data...)
	m.Resize(int64(size))
	return grown, true
}
