package claim

import (
	"context"
	"encoding/json"
	"time"
)

// SkewDivisor sets the margin for differing clock rates: a contender waits 1/SkewDivisor longer
// than the duration of a claim. If the rates of both clocks are off by a fraction e, a margin
// of 2e/(1-e) is needed; 1/40 is sufficient for 1%.
const SkewDivisor = 40

// readLimit is the maximum number of records requested in one read.
const readLimit = 512

type entryKind string

const (
	kindClaim   entryKind = "claim"
	kindRelease entryKind = "release"
)

// entry is the JSON content of a log record.
type entry struct {
	Kind     entryKind     `json:"kind"`
	ID       string        `json:"id"` // unique ID of the claim
	Resource string        `json:"resource"`
	Holder   string        `json:"holder"`
	TTL      time.Duration `json:"ttl_ns,omitempty"`
	// ReadOffset is the offset up to which the writer had read the log before it appended the
	// claim.
	ReadOffset int64 `json:"seen,omitempty"`
}

func (e entry) encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

// grantedClaim is a claim that took effect.
type grantedClaim struct {
	offset   int64
	id       string
	holder   string
	freeAt   time.Duration // when other contenders can claim the resource
	released bool
}

// resourceState is the state of one resource as derived from the log.
type resourceState struct {
	current *grantedClaim // the newest claim that took effect; it may have expired
	// Claims based on records that are no longer retained may or may not have taken effect.
	// Contenders wait for those up to this offset until this time.
	uncertainThrough int64
	uncertainUntil   time.Duration
}

// view is the content of the log that has been read so far. All readers of the log derive the
// same granted claims from it.
type view struct {
	log            Log
	clock          Clock
	grace          time.Duration
	maxTTL         time.Duration // claims with a longer TTL are ignored
	contiguousFrom int64         // all records from here up to position were read
	position       int64
	resources      map[string]*resourceState
}

// sync reads to the end of the log. The log may not yet return the most recent appends.
func (v *view) sync(ctx context.Context) error {
	for {
		records, next, err := v.log.Read(ctx, v.position, readLimit)
		if err != nil {
			return err
		}
		// The waiting time starts after the read, since the claim may have been appended at any
		// time before.
		now := v.clock.Now()
		for _, r := range records {
			v.apply(r, now)
		}
		v.skipTo(next)
		if len(records) < readLimit {
			return nil
		}
	}
}

// skipTo advances to a later offset; the records in between are no longer retained.
func (v *view) skipTo(offset int64) {
	if offset > v.position {
		v.contiguousFrom, v.position = offset, offset
	}
}

// apply adds one record to the view. Records of other formats or with invalid values are
// ignored.
func (v *view) apply(r Record, now time.Duration) {
	if r.Offset < v.position {
		return
	}
	v.skipTo(r.Offset)
	v.position = r.Offset + 1
	var e entry
	if json.Unmarshal(r.Data, &e) != nil {
		return
	}
	switch e.Kind {
	case kindClaim:
		// A writer cannot have read beyond the offset at which its own record is appended.
		if e.ID == "" || e.TTL <= 0 || e.TTL > v.maxTTL || e.ReadOffset < 0 || e.ReadOffset > r.Offset {
			return
		}
		v.applyClaim(r.Offset, e, now)
	case kindRelease:
		v.applyRelease(e)
	}
}

func (v *view) applyClaim(offset int64, e entry, now time.Duration) {
	r := v.resource(e.Resource)
	if r.current != nil && r.current.offset >= e.ReadOffset {
		return // another claim took effect after the writer's read
	}
	freeAt := now + e.TTL + e.TTL/SkewDivisor + v.grace
	if e.ReadOffset < v.contiguousFrom || e.ReadOffset <= r.uncertainThrough {
		r.uncertainThrough = offset
		r.uncertainUntil = max(r.uncertainUntil, freeAt)
		return
	}
	r.current = &grantedClaim{offset: offset, id: e.ID, holder: e.Holder, freeAt: freeAt}
}

func (v *view) applyRelease(e entry) {
	r := v.resource(e.Resource)
	if r.current != nil && r.current.id == e.ID {
		r.current.released = true
	}
}

// resource returns the state of the resource and creates it if needed.
func (v *view) resource(name string) *resourceState {
	r := v.resources[name]
	if r == nil {
		r = &resourceState{uncertainThrough: -1}
		v.resources[name] = r
	}
	return r
}

// freeAt returns the time at which the resource can be claimed; it is in the past if it can be
// claimed now.
func (v *view) freeAt(name string) time.Duration {
	r := v.resource(name)
	if r.current == nil || r.current.released {
		return r.uncertainUntil
	}
	return max(r.current.freeAt, r.uncertainUntil)
}
