package gateway

import "runtime/debug"

const (
	// memoryShare is the fraction of the host's memory above which the garbage collector works
	// harder. Stacks, kernel buffers and the program itself need the rest.
	memoryShare = 0.6
	// gcPercent is the heap growth, in percent, that triggers a garbage collection. The heap of a
	// node is small: with the runtime's default of 100, collections are so frequent that they use a
	// considerable part of a small host's processor.
	gcPercent = 200
)

// limitMemory sets the memory limit and the garbage collection rate of the process for a host with
// the given amount of memory.
func limitMemory(hostBytes int64) {
	debug.SetMemoryLimit(int64(memoryShare * float64(hostBytes)))
	debug.SetGCPercent(gcPercent)
}
