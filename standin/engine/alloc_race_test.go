//go:build race

package engine

// maxAllocations is greater than without the race detector, because sync.Pool, which encoding/json
// uses, randomly drops items when the race detector is enabled.
const maxAllocations = 2
