package platformlog

import (
	"time"

	"github.com/cherryward/cherryward/standin/fault"
)

// Faults are the faults that can be injected.
type Faults struct {
	fault.Process
	// Outage rejects every call with "unavailable" and without effect.
	Outage bool `json:"outage"`
	// LoseAnswerEvery drops the connection of each append whose offset plus one is a multiple
	// of it, after the record was written. 1 drops all, 0 none.
	LoseAnswerEvery int64 `json:"lose_answer_every"`
	// ReadLagMS hides records younger than this from reads, like a lagging replica;
	// milliseconds.
	ReadLagMS int64 `json:"read_lag_ms"`
}

var _ fault.Set = Faults{}

// losesResponse reports whether the response to the append at offset is lost.
func (f Faults) losesResponse(offset int64) bool {
	return f.LoseAnswerEvery > 0 && (offset+1)%f.LoseAnswerEvery == 0
}

func (f Faults) readLag() time.Duration { return time.Duration(f.ReadLagMS) * time.Millisecond }
