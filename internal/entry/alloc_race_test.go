//go:build race

package entry

// The bounds are wider under the race detector because sync.Pool then drops some
// items at random, including those that encoding/json pools.
const (
	maxAllocsPerToken = 5
	maxBytesPerToken  = 700
)
