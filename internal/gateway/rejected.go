package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// rejectedBurst is the number of rejected records that are logged in rejectedPeriod: a
	// writer of rubbish must not fill the log. All are counted.
	rejectedBurst  = 20
	rejectedPeriod = 10 * time.Second
)

// rejected counts and logs the records of the store that can't be used.
type rejected struct {
	atomic.Int64
	log zerolog.Logger
}

func newRejected(log zerolog.Logger) *rejected {
	return &rejected{log: log.Sample(&zerolog.BurstSampler{Burst: rejectedBurst, Period: rejectedPeriod})}
}

// record notes a record that can't be used.
func (r *rejected) record(record *follow.Record, cause error) {
	r.Add(1)
	r.log.Error().Str("event", "record_rejected").Str("key", record.Key).Int64("offset", record.Offset).Err(cause).Send()
}
