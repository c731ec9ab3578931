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

// recordContent is the JSON content of a log record.
type recordContent struct {
	Kind     entryKind     `json:"kind"`
	ID       string        `json:"id"` // unique ID of the claim
	Resource string        `json:"resource"`
	Holder   string        `json:"holder"`
	TTL      time.Duration `json:"ttl_ns,omitempty"`
	// ReadOffset is the offset at which the writer's next read would have started when it
	// appended the claim.
	ReadOffset int64 `json:"seen,omitempty"`
}

func (c recordContent) encode() []byte {
	data, err := json.Marshal(c)
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
	freeAt   time.Duration // when contenders can claim the resource
	released bool
}

// resourceState is the state of one resource as derived from the log.
type resourceState struct {
	current *grantedClaim // the newest claim that took effect; it may have expired
	// Claims based on records that are no longer retained may or may not have taken effect.
	uncertainThrough int64         // offset of the newest such claim, or -1
	uncertainUntil   time.Duration // clock reading until which contenders wait for such claims
}

// view is the state derived from the log records read so far. All readers of the same records
// derive the same granted claims.
type view struct {
	log            Log
	clock          Clock
	grace          time.Duration
	maxTTL         time.Duration // claims with a longer TTL are ignored
	contiguousFrom int64         // all records from here up to nextOffset were read
	nextOffset     int64         // offset at which the next read starts
	read           bool          // the log was read before
	resources      map[string]*resourceState
	generation     func(offset int64) int64
	lostTTL        time.Duration // longest TTL of claims that the log may lose
	// lostUntil is the clock reading until which contenders wait for claims that the log may have lost.
	lostUntil time.Duration
}

// sync reads to the end of the log. The log may not yet return the most recent appends.
func (v *view) sync(ctx context.Context) error {
	for {
		records, next, err := v.log.Read(ctx, v.nextOffset, readLimit)
		if err != nil {
			return err
		}
		// The waiting time starts after the read, since the claim may have been appended at any
		// time before.
		now := v.clock.Now()
		v.enterGeneration(next, now)
		for _, r := range records {
			v.apply(r, now)
		}
		v.skipTo(next)
		if len(records) < readLimit {
			return nil
		}
	}
}

// enterGeneration makes contenders wait if the log has begun a new generation since the latest read. The first
// read of a process can't tell when the present one began.
func (v *view) enterGeneration(next int64, now time.Duration) {
	if v.generation == nil || !v.read {
		v.read = true
		return
	}
	if v.generation(next) > v.generation(v.nextOffset) {
		v.lostUntil = now + v.lostTTL + v.lostTTL/SkewDivisor + v.grace
	}
}

// skipTo advances to a later offset; the records in between are no longer retained.
func (v *view) skipTo(offset int64) {
	if offset > v.nextOffset {
		v.contiguousFrom, v.nextOffset = offset, offset
	}
}

// apply adds one record to the view. Records of other formats or with invalid values are
// ignored.
func (v *view) apply(r Record, now time.Duration) {
	if r.Offset < v.nextOffset {
		return
	}
	v.skipTo(r.Offset)
	v.nextOffset = r.Offset + 1
	var e recordContent
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

func (v *view) applyClaim(offset int64, e recordContent, now time.Duration) {
	r := v.resource(e.Resource)
	if r.current != nil && r.current.offset >= e.ReadOffset {
		return // another claim took effect that the writer had not read
	}
	freeAt := now + e.TTL + e.TTL/SkewDivisor + v.grace
	if e.ReadOffset < v.contiguousFrom || e.ReadOffset <= r.uncertainThrough {
		r.uncertainThrough = offset
		r.uncertainUntil = max(r.uncertainUntil, freeAt)
		return
	}
	r.current = &grantedClaim{offset: offset, id: e.ID, holder: e.Holder, freeAt: freeAt}
}

func (v *view) applyRelease(e recordContent) {
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
		return max(r.uncertainUntil, v.lostUntil)
	}
	return max(r.current.freeAt, r.uncertainUntil, v.lostUntil)
}
