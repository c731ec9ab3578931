package kvcache

import (
	"time"

	"github.com/cherryward/cherryward/internal/kvcache/link"
)

// StoreEstimate lets placement compare an import with recomputation. The expected
// duration of an import is QueueDelay + Bytes/BytesPerSecond.
type StoreEstimate struct {
	Store          string // base URL of the store host
	Tokens         int    // tokens from the prompt's start that the store host covers
	Bytes          int64  // bytes to transfer, without the part that the engine has cached
	BytesPerSecond float64
	QueueDelay     time.Duration
}

// Estimate returns the size and expected speed of an import over the path now. The
// estimate is empty if there is nothing to import or the store host's breaker is
// open; the prompt is then recomputed.
func (h *StoreHost) Estimate(chain Chain, layout string, engineTokens int, path link.Path) StoreEstimate {
	stored := h.Lookup(chain, layout, engineTokens)
	if stored.Bytes == 0 {
		return StoreEstimate{}
	}
	e := path.Estimate(h.clock(), link.Import)
	return StoreEstimate{
		Store:          h.url,
		Tokens:         stored.Tokens,
		Bytes:          stored.Bytes,
		BytesPerSecond: e.BytesPerSecond,
		QueueDelay:     e.QueueDelay,
	}
}
