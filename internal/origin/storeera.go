package origin

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/follow"
)

// eraKey is the key of the record that names the store's era in which the records are complete. It is no hash.
const eraKey = releaseKeyPrefix + "era"

// eraRecord is the stored form of the record with eraKey.
type eraRecord struct {
	Era int64 `json:"era"`
}

// enterEra notes that the store may have lost records: it has come back from an older copy of its data, or had done
// so before this node started. r.mu is held.
func (r *Releases) enterEra(b *follow.Batch) {
	before := int64(0)
	if r.loaded {
		before = follow.EraOf(r.next)
	}
	if follow.EraOf(b.Next) > before {
		r.eraSeenAt = r.config.Now()
		r.lostRetention = r.longestRetention()
	}
}

// longestRetention returns the longest time for which streams of a release may be resumed, of those that this node knew when
// records were lost last and those that have a record. r.mu is held.
func (r *Releases) longestRetention() time.Duration {
	longest := max(r.config.Retention(), r.lostRetention)
	for _, record := range r.stored {
		longest = max(longest, record.retention(0))
	}
	return longest
}

// applyEra applies the record of the era in which the records are complete. r.mu is held.
func (r *Releases) applyEra(record *follow.Record) error {
	r.wholeEra = 0
	if record.Value == nil {
		return nil
	}
	var decoded eraRecord
	if err := json.Unmarshal(record.Value, &decoded); err != nil {
		return eris.Wrap(err, "decode the era of the records of releases")
	}
	r.wholeEra = decoded.Era
	return nil
}

// isWhole reports whether the records of all releases are there: the store has not lost any, or streams of those that it
// lost can't be resumed any more. Nodes that had not heard of the loss may have begun some for removeDelay. r.mu is held.
func (r *Releases) isWhole() bool {
	era := follow.EraOf(r.next)
	return era == 0 || r.wholeEra == era || r.lossIsOver()
}

// lossIsOver reports whether this node has known for long enough that the store may have lost records. r.mu is held.
func (r *Releases) lossIsOver() bool {
	return r.config.Now().Sub(r.eraSeenAt) >= r.longestRetention()+removeDelay
}

// lacksEraMark reports whether the store's era is to be recorded as one in which the records are complete.
func (r *Releases) lacksEraMark() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	era := follow.EraOf(r.next)
	return era > 0 && r.wholeEra != era && r.lossIsOver()
}
