package origin

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/follow"
)

// releaseKeyPrefix is the prefix of the keys of releases, which distinguishes them from node entries in the
// same topic.
const releaseKeyPrefix = "release/"

// IsReleaseRecord reports whether a key of the topic is that of a release.
func IsReleaseRecord(key string) bool { return strings.HasPrefix(key, releaseKeyPrefix) }

// releaseKey returns the key of a release's record. It holds a hash, as names may be longer than a key.
func releaseKey(o Origin) string {
	text, err := KeyOf(o.Service, o.Release).MarshalText()
	if err != nil {
		panic(err) // MarshalText never fails
	}
	return releaseKeyPrefix + string(text)
}

// releaseRecord is the stored form of a release that serves, or that began streams which can still be
// resumed.
type releaseRecord struct {
	Origin
	// Complete is true if all such releases of the service were recorded when this record was written.
	Complete bool `json:"complete,omitempty"`
	// Node is the node that wrote the record. It is information for operators.
	Node string `json:"node,omitempty"`
}

// decodeRelease decodes the record of a release.
func decodeRelease(r *follow.Record) (record releaseRecord, err error) {
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return releaseRecord{}, eris.Wrap(err, "decode the record of a release")
	}
	if !record.valid() || releaseKey(record.Origin) != r.Key {
		return releaseRecord{}, eris.New("record of a release lacks a name, or has the key of another one")
	}
	return record, nil
}

// Releases is a copy of the records of releases in the platform's store. With it, nodes that have all
// started again at the same time know which releases served before. It is safe for concurrent use.
type Releases struct {
	mu          sync.Mutex
	byKey       map[string]releaseRecord
	confirmedAt time.Time // when the copy was certainly current; zero before the first read
	newSystem   bool      // nothing was recorded in the topic before this node read it first
}

// NewReleases returns an empty copy.
func NewReleases() *Releases { return &Releases{byKey: make(map[string]releaseRecord)} }

// Apply applies a read of the topic, which also has other records. reject receives the records of releases
// that are invalid. These count as absent.
func (r *Releases) Apply(b *follow.Batch, reject func(*follow.Record, error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmedAt.IsZero() {
		r.newSystem = b.Snapshot && len(b.Records) == 0 && follow.EraOf(b.Next) == 0
	}
	if b.Snapshot {
		clear(r.byKey)
	}
	for i := range b.Records {
		record := &b.Records[i]
		if !IsReleaseRecord(record.Key) {
			continue
		}
		delete(r.byKey, record.Key)
		if record.Value == nil {
			continue
		}
		decoded, err := decodeRelease(record)
		if err != nil {
			reject(record, err)
			continue
		}
		r.byKey[record.Key] = decoded
	}
	r.confirmedAt = b.ConfirmedAt
}

// Loaded reports whether the topic was read.
func (r *Releases) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.confirmedAt.IsZero()
}

// NewSystem reports whether nothing was recorded in the topic when this node read it first, so that no node
// of the system ran before.
func (r *Releases) NewSystem() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newSystem
}

// all returns all records by key.
func (r *Releases) all() map[string]releaseRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.byKey)
}

// Extend returns a node's view of a service with the recorded releases. The records cover the time before
// the view begins if the copy isn't older than that by more than maxObservationGap: an endpoint that
// registered since is still listed.
func (r *Releases) Extend(service string, v View, now time.Time) View {
	r.mu.Lock()
	defer r.mu.Unlock()
	complete := false
	for _, record := range r.byKey {
		if record.Service != service {
			continue
		}
		complete = complete || record.Complete
		if !slices.Contains(v.Releases, record.Release) {
			v.Releases = append(v.Releases, record.Release)
		}
	}
	slices.Sort(v.Releases)
	v.Releases = v.Releases[:min(len(v.Releases), maxViewReleases)]
	begins := now.Add(-time.Duration(v.ObservedMS) * time.Millisecond)
	v.Recorded = complete && !begins.After(r.confirmedAt.Add(maxObservationGap))
	return v
}
