package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// Word is what one start of an endpoint has said of itself in answers. Its zero value is that of one which
// has said nothing. It is safe for concurrent use.
type Word struct {
	mu     sync.Mutex
	limit  atomic.Pointer[RateLimit] // written under mu; nil where it never named one
	leaves atomic.Pointer[time.Time] // when it first said that it leaves; nil where it never did
	rest   atomic.Pointer[Rest]      // written under mu; nil where it never asked for one
	// unread is the newest header that could not be read; nil for none.
	unread atomic.Pointer[string]
}

// Unreadable notes a header of an answer that could not be read, and reports whether it is another one than
// the last.
func (w *Word) Unreadable(header string) (changed bool) {
	before := w.unread.Swap(&header)
	return before == nil || *before != header
}

// Leaves notes that it says that it leaves, which counts for good. It reports whether that is news.
func (w *Word) Leaves(at time.Time) (news bool) { return w.leaves.CompareAndSwap(nil, &at) }

// Leaving returns when it first said that it leaves; false where it never did.
func (w *Word) Leaving() (since time.Time, leaving bool) {
	if at := w.leaves.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}
