package changelog

import (
	"sync"
	"time"
)

// freshness tracks how long ago the log was last read, by this node or by a node
// whose notices reached it. Nodes report ages instead of timestamps, so their
// clocks need not be synchronized. The age includes the time at each node, the time
// of failed deliveries, and the full duration of a pull. It does not include the
// network delay of a delivered notice, which is at most noticeTimeout per hop and
// is not added up over several reads of the log.
type freshness struct {
	mu           sync.Mutex
	lastLogRead  time.Time // when any node last read the log, as far as reported to this node
	lastContact  time.Time // start of the last successful read of the log, or last message from a peer
	lastNotice   time.Time // when a notice was last sent or received
	newestKnown  int64     // newest offset reported by the log or a peer
	logReadKnown bool      // whether a read of the log was ever recorded
}

func newFreshness() *freshness {
	now := time.Now()
	return &freshness{lastLogRead: now, lastContact: now, lastNotice: now}
}

// recordLogRead records a successful read of the log that began at started and
// found newestKnown as the newest offset.
func (f *freshness) recordLogRead(started time.Time, newestKnown int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logReadKnown = true
	f.lastLogRead = later(f.lastLogRead, started)
	f.lastContact = later(f.lastContact, started)
	f.newestKnown = max(f.newestKnown, newestKnown)
}

// recordPeerNotice records the age and the newest offset that a peer reported.
func (f *freshness) recordPeerNotice(n Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.lastContact = now
	f.newestKnown = max(f.newestKnown, n.NewestKnown)
	if n.LogAge >= 0 {
		f.logReadKnown = true
		f.lastLogRead = later(f.lastLogRead, now.Add(-n.LogAge))
	}
}

// recordNoticeTime records that a notice was just sent or received.
func (f *freshness) recordNoticeTime() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastNotice = time.Now()
}

func (f *freshness) sinceNotice() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastNotice)
}

// ageUnknown is the age that a node reports if no read of the log was recorded.
const ageUnknown = time.Duration(-1)

// logAge returns the age of the last known read of the log, as reported to peers,
// or ageUnknown.
func (f *freshness) logAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.logReadKnown {
		return ageUnknown
	}
	return time.Since(f.lastLogRead)
}

// ages returns the time since the last known read of the log and since the last
// contact with the log or a peer, each counted from the start if there was none
// yet, and the newest offset known.
func (f *freshness) ages() (log, contact time.Duration, newestKnown int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastLogRead), time.Since(f.lastContact), f.newestKnown
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
