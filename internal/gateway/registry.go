package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/platform"
)

// lapseOutage is the shortest outage of the registry during which entries may
// have lapsed though their endpoints live: half of the three heartbeats after
// which an entry is removed.
const lapseOutage = 1500 * time.Millisecond

// registry takes the endpoints' entries to the fleet.
type registry struct {
	fleet *fleet.Fleet
	log   zerolog.Logger

	doubtUntil time.Time // entries that are missing until then may only have lapsed
}

var _ follow.Sink = (*registry)(nil)

// Apply implements follow.Sink.
func (r *registry) Apply(b follow.Batch) {
	now := time.Now()
	if b.Gap > lapseOutage {
		r.doubtUntil = now.Add(fleet.LapseHold)
	}
	lapsed := now.Before(r.doubtUntil)
	present := make(map[string]bool, len(b.Records))
	for i := range b.Records {
		record := &b.Records[i]
		present[record.Key] = record.Value != nil
		r.apply(record, lapsed, now)
	}
	if b.Snapshot {
		r.fleet.Retain(present, lapsed, now)
	}
	r.fleet.Expire(now)
}

func (r *registry) apply(record *follow.Record, lapsed bool, now time.Time) {
	if record.Value == nil {
		r.fleet.Remove(record.Key, lapsed, now)
		return
	}
	endpoint, err := platform.DecodeEndpoint(record.Key, record.Value)
	if err != nil {
		r.log.Error().Str("event", "record_rejected").Str("key", record.Key).Int64("offset", record.Offset).Err(err).Send()
		return
	}
	r.fleet.Update(endpoint, now)
}
