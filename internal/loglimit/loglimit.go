// Package loglimit bounds the lines that other processes can cause in the log, as by entries, records and messages
// that can't be used.
package loglimit

import (
	"time"

	"github.com/rs/zerolog"
)

// A bounded logger writes Burst lines in each Period, and drops the others.
const (
	Burst  = 20
	Period = 10 * time.Second
)

// Bound returns a logger that writes to log with a bounded number of lines. Each call returns one with a bound of its own.
func Bound(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: Burst, Period: Period})
}
