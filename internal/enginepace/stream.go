package enginepace

import "time"

// Stream observes one stream. A nil Stream ignores all calls. Its methods must not be called
// concurrently.
type Stream struct {
	tracker *Tracker
	engine  *engine

	// The remaining fields are guarded by tracker.mu.
	last    mark          // at the last event
	group   mark          // at the last event before the current group
	events  int           // in the current group
	writing bool          // the last events are being written to the caller
	written time.Duration // total time spent writing
	// slowGroups is the number of consecutive slow groups up to now, slowFrom their start and
	// slowEvents the number of their events. confirmed is how many of them were a sign already.
	slowGroups, slowEvents, confirmed int
	slowFrom                          mark
}

// mark is a time with what was known then.
type mark struct {
	at      time.Time
	excused time.Duration // total time for which this node did not run or did not read the stream
	pending int           // prompt tokens known to be pending
	arrived int           // prompt tokens that had become pending
	// own are those pending of this node's prompts, and ownChanges counts their changes.
	own, ownChanges int
}

// mark returns the mark of a stream at the present time.
func (s *Stream) mark(now time.Time) mark {
	e := s.engine
	return mark{at: now, excused: s.tracker.host.until(now) + s.written, pending: e.pending(), arrived: e.arrived, own: e.ownPending, ownChanges: e.ownChanges}
}

// since returns the time since a mark in which events could be received.
func (m *mark) since(now *mark) time.Duration {
	return max(now.at.Sub(m.at)-(now.excused-m.excused), 0)
}

// readSince returns the most prompt tokens that can have been prefilled since a mark, as far as
// known: those pending then and those that became pending afterwards.
func (m *mark) readSince(now *mark) int { return m.pending + now.arrived - m.arrived }

// Observe records that a read brought the given number of events. Until Wait is called, the node
// reads no further ones.
func (s *Stream) Observe(events int, now time.Time) {
	if s == nil {
		return
	}
	t, e := s.tracker, s.engine
	t.mu.Lock()
	defer t.mu.Unlock()
	e.update()
	at := s.mark(now)
	s.last, s.writing = at, true
	s.events += events
	usual := t.usual.at(e.running())
	if s.group.since(&at) >= minGroup || usual*float64(s.events) >= millis(minGroup) {
		t.judge(s, usual, &at)
	}
}

// Wait records that the last events were written to the caller and that the node waits for further
// ones.
func (s *Stream) Wait(now time.Time) {
	if s == nil {
		return
	}
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	if !s.writing {
		return // the read brought no event, only a comment
	}
	at := s.mark(now)
	s.written += s.last.since(&at)
	s.writing = false
}

// Close ends the observation.
func (s *Stream) Close() {
	if s == nil {
		return
	}
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	s.engine.remove(s)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
