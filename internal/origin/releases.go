package origin

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/follow"
)

// releaseKeyPrefix is the prefix of the keys of releases, which distinguishes them from node entries in the
// same topic.
const releaseKeyPrefix = "release/"

// errNotLoaded is returned while the topic of the records was not read.
var errNotLoaded = eris.New("the records of releases were not read yet")

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

// releaseRecord is the stored form of a release that may begin streams, or that began streams which can still be
// resumed. An empty release stands for endpoints that state none.
type releaseRecord struct {
	Origin
	// Retired is true if no streams may begin at the release any more. The record is removed some time later.
	Retired bool `json:"retired,omitempty"`
	// RetentionMS is the longest time for which streams of the release could be resumed while they began there.
	RetentionMS int64 `json:"retention_ms,omitempty"`
	// Node is the node that wrote the record. It is information for operators.
	Node string `json:"node,omitempty"`
}

// storedRelease is a record in a copy.
type storedRelease struct {
	releaseRecord
	position int64     // in the topic
	readAt   time.Time // when this node read the record
}

// retention returns how long streams of the release may be resumed, if they may be for the given time now.
func (r *releaseRecord) retention(now time.Duration) time.Duration {
	return max(now, time.Duration(r.RetentionMS)*time.Millisecond)
}

// decodeRelease decodes the record of a release.
func decodeRelease(r *follow.Record) (record releaseRecord, err error) {
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return releaseRecord{}, eris.Wrap(err, "decode the record of a release")
	}
	if !record.recordable() || releaseKey(record.Origin) != r.Key {
		return releaseRecord{}, eris.New("record of a release lacks a name, or has the key of another one")
	}
	return record, nil
}

// recordable reports whether a release can have a record.
func (o *Origin) recordable() bool {
	return o.Service != "" && len(o.Service) <= maxNameBytes && len(o.Release) <= maxNameBytes
}

// ReleasesConfig holds the dependencies of a Releases. All fields must be set.
type ReleasesConfig struct {
	// Topic is the topic of the records in the platform's store.
	Topic follow.Topic
	// Spacing returns the least time between two reads that confirm the copy.
	Spacing func() time.Duration
	// Retention is that of the origins of streams.
	Retention func() time.Duration
	Now       func() time.Time
}

// Releases is a copy of the records of releases in the platform's store.
//
// Guarantee: a release that began streams which can still be resumed is among the records in the store, as no
// stream begins at a release whose record is not there (see Gate). The copy has all of these records once Confirm
// returns. It is safe for concurrent use.
type Releases struct {
	config    ReleasesConfig
	confirmer confirmer

	mu     sync.Mutex
	loaded bool
	stored map[Origin]storedRelease
	// unreadable are the keys of records that are invalid, and when this node read them first. They stand for releases
	// that are not known.
	unreadable map[string]time.Time
	// told are the releases at which streams may begin by copies of other nodes that go further than this one.
	told map[Origin]toldRelease
	// next is the position in the topic up to which the copy has all records.
	next int64
	// confirmedAt is a time at which the copy was certainly current.
	confirmedAt time.Time
	// eraSeenAt is when this node saw that the store had come back from an older copy of its data; zero if it didn't.
	// wholeEra is the era in which another node has recorded that the records are complete. lostRetention is the longest
	// retention of the releases whose records may be lost, as far as this node knew them.
	eraSeenAt     time.Time
	wholeEra      int64
	lostRetention time.Duration
}

// NewReleases returns an empty copy.
func NewReleases(c ReleasesConfig) *Releases {
	r := &Releases{config: c, stored: make(map[Origin]storedRelease), unreadable: make(map[string]time.Time), told: make(map[Origin]toldRelease)}
	r.confirmer = confirmer{read: r.read, spacing: c.Spacing, now: c.Now, timeout: confirmTimeout}
	return r
}

// Apply applies a read of the topic, which also has other records. reject receives the records of releases
// that are invalid. A read that is older than the copy changes nothing.
func (r *Releases) Apply(b *follow.Batch, reject func(*follow.Record, error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && b.Snapshot && b.Next < r.next {
		return
	}
	r.enterEra(b)
	before := r.stored
	if b.Snapshot {
		r.stored, r.unreadable, r.wholeEra = make(map[Origin]storedRelease), make(map[string]time.Time), 0
	}
	for i := range b.Records {
		record := &b.Records[i]
		known := r.loaded && !b.Snapshot && record.Offset < r.next
		if known || !IsReleaseRecord(record.Key) {
			continue
		}
		if err := r.apply(record, before); err != nil {
			reject(record, err)
		}
	}
	r.loaded, r.next = true, max(r.next, b.Next)
	if b.ConfirmedAt.After(r.confirmedAt) {
		r.confirmedAt = b.ConfirmedAt
	}
	maps.DeleteFunc(r.told, func(_ Origin, t toldRelease) bool { return t.next <= r.next })
}

// apply applies a record. before is what the copy had before a snapshot. r.mu is held.
func (r *Releases) apply(record *follow.Record, before map[Origin]storedRelease) error {
	if record.Key == eraKey {
		return r.applyEra(record)
	}
	known, found := r.take(record.Key)
	delete(r.unreadable, record.Key)
	if record.Value == nil {
		return nil
	}
	decoded, err := decodeRelease(record)
	if err != nil {
		r.unreadable[record.Key] = r.config.Now()
		return err
	}
	if !found {
		known = before[decoded.Origin]
	}
	if known.releaseRecord != decoded || known.position != record.Offset {
		known = storedRelease{decoded, record.Offset, r.config.Now()} // it may have been another one meanwhile
	}
	r.stored[decoded.Origin] = known
	return nil
}

// take removes and returns the valid record with a key. r.mu is held.
func (r *Releases) take(key string) (_ storedRelease, found bool) {
	for o, record := range r.stored {
		if releaseKey(o) == key {
			delete(r.stored, o)
			return record, true
		}
	}
	return storedRelease{}, false
}

// Confirm brings the copy up to date with a read that is sent after the call. Several calls share a read. It takes
// the spacing of reads and confirmTimeout at most.
func (r *Releases) Confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.Spacing()+confirmTimeout)
	defer cancel()
	return eris.Wrap(r.confirmer.confirm(ctx), "confirm the records of releases")
}

// read reads what the copy lacks.
func (r *Releases) read(ctx context.Context) error {
	sentAt := r.config.Now()
	r.mu.Lock()
	loaded, next := r.loaded, r.next
	r.mu.Unlock()
	if !loaded {
		return errNotLoaded
	}
	snapshot := false
	page, err := r.config.Topic.Read(ctx, next, 0)
	if errors.Is(err, follow.ErrCompacted) {
		snapshot = true
		page, err = r.config.Topic.Newest(ctx)
	}
	if err != nil {
		return err
	}
	batch := &follow.Batch{Records: page.Records, Snapshot: snapshot, ConfirmedAt: sentAt, Next: page.Next}
	r.Apply(batch, func(*follow.Record, error) {}) // the node's own follower reports them
	return nil
}

// Loaded reports whether the topic was read.
func (r *Releases) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// lastConfirmed returns a time at which the copy was certainly current, zero before the first read.
func (r *Releases) lastConfirmed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt
}

// contents is what a copy has at a position in the topic.
type contents struct {
	stored     map[Origin]storedRelease
	unreadable map[string]time.Time // when invalid records were read, by key
	end        int64
}

// contents returns what the copy has.
func (r *Releases) contents() contents {
	r.mu.Lock()
	defer r.mu.Unlock()
	return contents{maps.Clone(r.stored), maps.Clone(r.unreadable), r.next}
}

// of returns the recorded releases of a service. whole is false if there may be others: the store may have lost
// records, or has some that are invalid.
func (r *Releases) of(service string) (list []string, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for o := range r.stored {
		if o.Service == service {
			list = append(list, o.Release)
		}
	}
	return list, len(r.unreadable) == 0 && r.isWhole()
}
