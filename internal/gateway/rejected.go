package gateway

import (
	"strings"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/loglimit"
)

// maxCauseBytes bounds the logged text of why a record was rejected, which may quote the record.
const maxCauseBytes = 512

// rejected counts the store's records that cannot be used, and logs a bounded number of them: a faulty writer cannot
// flood the log.
type rejected struct {
	atomic.Int64
	log zerolog.Logger
}

func newRejected(log zerolog.Logger) *rejected {
	return &rejected{log: loglimit.Bound(log)}
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
