package gateway

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// rejectedBurst is the number of rejected records that are logged in each rejectedPeriod, so
	// that a faulty writer cannot flood the log. All rejected records are counted.
	rejectedBurst  = 20
	rejectedPeriod = 10 * time.Second
	// maxCauseBytes bounds the logged text of why a record was rejected, which may quote the record.
	maxCauseBytes = 512
)

// rejected counts and logs the store's records that cannot be used.
type rejected struct {
	atomic.Int64
	log zerolog.Logger
}

func newRejected(log zerolog.Logger) *rejected {
	return &rejected{log: log.Sample(&zerolog.BurstSampler{Burst: rejectedBurst, Period: rejectedPeriod})}
}

// record counts and logs a record that cannot be used.
func (r *rejected) record(record *follow.Record, cause error) {
	r.Add(1)
	r.log.Error().Str("event", "record_rejected").Str("key", record.Key).Int64("offset", follow.OffsetOf(record.Offset)).Str(zerolog.ErrorFieldName, firstBytes(cause.Error(), maxCauseBytes)).Send()
}

// firstBytes returns the beginning of a text, of at most n bytes.
func firstBytes(text string, n int) string {
	return strings.ToValidUTF8(text[:min(len(text), n)], "")
}
