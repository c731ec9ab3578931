package gateway

import "runtime/debug"

const (
	// memoryShare is the part of the host's memory from which the collector works
	// harder; stacks, buffers in the kernel and the program itself need the rest.
	memoryShare = 0.6
	// collectAt is how much the heap grows, in percent, until it is collected. A node holds little, which
	// at the runtime's own 100 is collected so often that it takes a good part of a small host's processor.
	collectAt = 200
)

// limitMemory has the heap of a process on a host of so much memory collected in time, and no more
// often than that takes.
func limitMemory(hostBytes int64) {
	debug.SetMemoryLimit(int64(memoryShare * float64(hostBytes)))
	debug.SetGCPercent(collectAt)
}
