//go:build !race

package entry

// Upper bounds on the allocations for one streamed token.
const (
	maxAllocsPerToken = 1.25
	maxBytesPerToken  = 300
)
