//go:build !race

package engine

// maxAllocations is the upper bound of allocations per token frame.
const maxAllocations = 0.01
