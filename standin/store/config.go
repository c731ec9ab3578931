package store

import (
	"errors"
	"time"

	"github.com/cherryward/cherryward/standin/fault"
)

// Config configures a store host.
type Config struct {
	// MemoryBytes and DiskBytes are the sizes of the tiers.
	MemoryBytes, DiskBytes int64
	// DiskLatency is the latency of each read from disk, and DiskBytesPerSecond the rate after
	// that; 0 means unlimited.
	DiskLatency        time.Duration
	DiskBytesPerSecond int64
	// LinkBytesPerSecond limits all reads and writes together; 0 means unlimited.
	LinkBytesPerSecond int64
}

// Faults are the faults that can be injected.
type Faults struct {
	fault.Process
	// Full rejects every new block.
	Full bool `json:"full"`
	// LinkBytesPerSecond overrides the value in Config if it is greater than 0.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
	// BreakAfter drops the connection of each write after this many bytes, which leaves the block
	// incomplete; 0 disables it.
	BreakAfter int64 `json:"break_after"`
	// CorruptReads flips a bit of each block that is read.
	CorruptReads bool `json:"corrupt_reads"`
}

var (
	_ fault.Set = Faults{}

	errNoSnapshot = errors.New("no snapshot was taken")
	errNoBlock    = errors.New("no such block")
)
