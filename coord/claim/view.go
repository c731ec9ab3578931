package claim

import (
	"context"
	"encoding/json"
	"time"
)

// SkewDivisor sets the margin for clock rates: a contender waits 1/SkewDivisor
// longer than a claim lasts. With rates off by e at both, 2e/(1-e) is needed;
// 1/40 covers 1%.
const SkewDivisor = 40

// readLimit is the number of records asked for in one read.
const readLimit = 512

type entryKind string

const (
	kindClaim   entryKind = "claim"
	kindRelease entryKind = "release"
)

// entry is the content of a record.
type entry struct {
	Kind     entryKind     `json:"kind"`
	ID       string        `json:"id"` // of the claim, unique
	Resource string        `json:"resource"`
	Holder   string        `json:"holder"`
	TTL      time.Duration `json:"ttl_ns,omitempty"`
	// Seen is the offset up to which the claim's writer had read.
	Seen int64 `json:"seen,omitempty"`
}

func (e entry) encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

// holding is a claim that took effect.
type holding struct {
	offset   int64
	id       string
	holder   string
	until    time.Duration // when a contender may regard it as over
	released bool
}

// resource is what the log says of one resource.
type resource struct {
	current *holding // the newest claim that took effect, over or not
	// Claims that were based on records no longer retained may or may not have
	// taken effect: they are waited for, up to this offset and time.
	unsureThrough int64
	unsureUntil   time.Duration
}

// view is the log's content, as read so far. Each reader derives the same
// holdings from it.
type view struct {
	log       Log
	clock     Clock
	grace     time.Duration
	maxTTL    time.Duration // of claims that are believed
	first     int64         // everything from here to position was read
	position  int64
	resources map[string]*resource
}

// sync reads to the end of the log, as far as the log shows it.
func (v *view) sync(ctx context.Context) error {
	for {
		records, next, err := v.log.Read(ctx, v.position, readLimit)
		if err != nil {
			return err
		}
		// A claim's time counts from here, after the read, since it may have
		// been appended at any moment before.
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

// skipTo moves on to the next offset; what lies between was not retained.
func (v *view) skipTo(offset int64) {
	if offset > v.position {
		v.first, v.position = offset, offset
	}
}

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
		// Who writes a claim has read no further than to where it comes to stand.
		if e.ID == "" || e.TTL <= 0 || e.TTL > v.maxTTL || e.Seen < 0 || e.Seen > r.Offset {
			return
		}
		v.claim(r.Offset, e, now)
	case kindRelease:
		v.release(e)
	}
}

func (v *view) claim(offset int64, e entry, now time.Duration) {
	r := v.resource(e.Resource)
	if r.current != nil && r.current.offset >= e.Seen {
		return // another claim came first
	}
	until := now + e.TTL + e.TTL/SkewDivisor + v.grace
	if e.Seen < v.first || e.Seen <= r.unsureThrough {
		r.unsureThrough = offset
		r.unsureUntil = max(r.unsureUntil, until)
		return
	}
	r.current = &holding{offset: offset, id: e.ID, holder: e.Holder, until: until}
}

func (v *view) release(e entry) {
	r := v.resource(e.Resource)
	if r.current != nil && r.current.id == e.ID {
		r.current.released = true
	}
}

func (v *view) resource(name string) *resource {
	r := v.resources[name]
	if r == nil {
		r = &resource{unsureThrough: -1}
		v.resources[name] = r
	}
	return r
}

// freeAt returns when the resource can be claimed, in the past if it can now.
func (v *view) freeAt(name string) time.Duration {
	r := v.resource(name)
	if r.current == nil || r.current.released {
		return r.unsureUntil
	}
	return max(r.current.until, r.unsureUntil)
}
