package fleet

import (
	"sync"
	"sync/atomic"
)

// Word is what one start of an endpoint has said of itself in answers. Its zero value is that of one which
// has said nothing. It is safe for concurrent use.
type Word struct {
	mu    sync.Mutex
	limit atomic.Pointer[RateLimit] // written under mu; nil where it never named one
	// unread is the newest header that could not be read; nil for none.
	unread atomic.Pointer[string]
}

// Unreadable notes a header of an answer that could not be read, and reports whether it is another one than
// the last.
func (w *Word) Unreadable(header string) (changed bool) {
	before := w.unread.Swap(&header)
	return before == nil || *before != header
}
