package residency

import (
	"maps"
	"sync"
	"time"
)

// Limits are the times that all nodes must observe for stored parts to be freed safely.
type Limits struct {
	// MaxFreshAge is the maximum age of the configuration at which a node frees parts, and MaxFreeTime
	// the maximum time from that decision until a store has carried it out.
	MaxFreshAge, MaxFreeTime time.Duration
	// ReferenceTime is how long parts are still referenced after a node read that their policy is
	// no longer in force.
	ReferenceTime time.Duration
	// FreeDelay is the time from then until they are freed. It must exceed ReferenceTime by
	// MaxFreshAge and the longest fetch.
	FreeDelay time.Duration
}

// Tracker records which keys of stored parts the configurations in force contain, such as those of policies, and decides
// from this which stored parts may be referenced and which may be freed.
//
// Operators may allow a set of regions, withdraw it and allow it again. Two rules keep a part that one
// node references from being freed by another that has read other configurations:
//
//   - A policy's parts are referenced only once it has been in force for longer than MaxFreshAge and
//     MaxFreeTime. By then every node that may free parts has read so. A node that starts can't know
//     since when a policy has been in force, and waits as well.
//   - Parts of a policy that is not in force are freed FreeDelay after the latest change of the
//     configuration, whatever its policies are: a node that missed configurations in between can't
//     know which policies they contained.
//
// The empty key stands for parts that every configuration contains.
//
// The zero value knows no key; Limits must be set. It is safe for concurrent use.
type Tracker struct {
	Limits Limits

	mu        sync.Mutex
	changedAt time.Time            // latest Update; zero before the first one
	inForce   map[string]time.Time // since when, by key
	endedAt   map[string]time.Time // of policies whose end this node read promptly, by key
}

// Update records the keys of a configuration that takes effect now. readPromptly states that the
// previous configuration was known to be current less than MaxFreshAge before.
func (t *Tracker) Update(keys []string, now time.Time, readPromptly bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.inForce
	t.changedAt = now
	t.inForce = make(map[string]time.Time, len(keys))
	for _, key := range keys {
		t.inForce[key] = now
		if since, known := before[key]; known {
			t.inForce[key] = since
		}
	}
	if t.endedAt == nil || !readPromptly {
		t.endedAt = make(map[string]time.Time)
	}
	maps.DeleteFunc(t.endedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= t.Limits.ReferenceTime })
	for key, since := range before {
		if _, lasts := t.inForce[key]; !lasts && readPromptly && t.active(since, now) {
			t.endedAt[key] = now
		}
	}
}

// active reports whether a policy has been in force for long enough to be referenced.
func (t *Tracker) active(since, now time.Time) bool {
	return now.Sub(since) > t.Limits.MaxFreshAge+t.Limits.MaxFreeTime
}

// MayReference reports whether this node may reference stored parts under a key. It is always true for the empty key.
func (t *Tracker) MayReference(key string, now time.Time) bool {
	if key == "" {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if since, inForce := t.inForce[key]; inForce {
		return t.active(since, now)
	}
	at, ended := t.endedAt[key]
	return ended && now.Sub(at) < t.Limits.ReferenceTime
}

// Outdated reports whether parts under a key may be freed by a node whose
// configuration is at most MaxFreshAge old, stagger later than by others.
func (t *Tracker) Outdated(key string, now time.Time, stagger time.Duration) bool {
	if key == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, inForce := t.inForce[key]; inForce || t.changedAt.IsZero() {
		return false
	}
	return now.Sub(t.changedAt) > t.Limits.FreeDelay+stagger
}
