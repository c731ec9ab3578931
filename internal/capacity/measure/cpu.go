package measure

import (
	"runtime"
	"syscall"
	"time"
)

// CPUTime returns the processor time that this process has used.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("measure: " + err.Error()) // can't fail with these arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// MemoryInUse returns the bytes of this process's live heap and its stacks, after a garbage collection.
func MemoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
