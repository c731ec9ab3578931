package changelog

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// markedState is the state at a mark record, from which a checkpoint is written.
type markedState[V any] struct {
	offset   int64
	seenAt   time.Time
	snapshot *Snapshot[V]
	window   *dedupWindow
}

// state is one node's copy of the state, with the data derived from applied
// records. It does no I/O.
type state[V any] struct {
	snapshot    atomic.Pointer[Snapshot[V]]
	mu          sync.Mutex
	ready       bool
	reducer     *reducer[V]
	history     history
	progress    chan struct{}             // closed and replaced when the applied offset grows
	waiters     map[string][]chan Outcome // by change id
	mark        *markedState[V]           // state at the newest mark record, nil if none
	parts       collector
	imageMu     sync.Mutex // guards image and imageOffset
	image       []byte
	imageOffset int64
	// completeMark is the mark of the newest complete checkpoint, checkpointSeenAt
	// the time when this node read its last part, and changesSinceCheckpoint the
	// number of changes read since its mark, whether accepted or rejected, without
	// repeated records.
	completeMark           int64
	checkpointSeenAt       time.Time
	changesSinceCheckpoint int
	// changesBeforeMark is the number of these changes before the newest mark.
	changesBeforeMark int
}

func newState[V any](schema Schema[V]) *state[V] {
	s := &state[V]{
		reducer:          newReducer(schema),
		progress:         make(chan struct{}),
		waiters:          make(map[string][]chan Outcome),
		checkpointSeenAt: time.Now(),
		parts:            newFollowCollector(),
	}
	s.snapshot.Store(newSnapshot[V]())
	return s
}

func (s *state[V]) applied() int64 { return s.snapshot.Load().applied }

func (s *state[V]) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// apply applies the records of a segment that were not applied before. advanced
// reports whether the applied offset grew. It returns ErrNotReady before a state is
// loaded, and ErrGap if records before the segment are missing.
func (s *state[V]) apply(seg Segment) (advanced bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return false, ErrNotReady
	}
	applied := s.applied()
	if seg.From > applied+1 {
		return false, ErrGap
	}
	if seg.To <= applied+1 {
		return false, nil
	}
	for _, r := range seg.Records {
		if r.Offset > applied {
			s.applyRecord(r)
		}
	}
	s.reducer.draft.applied = seg.To - 1
	s.history.add(applied+1, seg)
	s.publish()
	return true, nil
}

func (s *state[V]) applyRecord(r Record) {
	e, err := decodeRecord(r.Data)
	if err != nil {
		return // all nodes skip records that cannot be decoded
	}
	s.reducer.draft.applied = r.Offset
	switch e.Type {
	case typeChange:
		s.applyChange(r.Offset, *e.Change)
	case typeMark:
		s.setMark(r.Offset)
	case typePart:
		s.addPart(*e.Part)
	}
}

func (s *state[V]) applyChange(offset int64, c Change) {
	o, repeated := s.reducer.applyChange(offset, c)
	s.resolve(c.ID, o)
	if repeated {
		return
	}
	s.changesSinceCheckpoint++
	if o.Status == Accepted {
		s.history.addEvent(Event{Offset: offset, Name: Name{c.Kind, c.Key}, Op: c.Op})
	}
}

// setMark stores the state at a mark record, from which the parts of the checkpoint
// are written.
func (s *state[V]) setMark(offset int64) {
	s.mark = &markedState[V]{
		offset:   offset,
		seenAt:   time.Now(),
		snapshot: s.reducer.draft.freeze(),
		window:   s.reducer.window.clone(),
	}
	s.changesBeforeMark = s.changesSinceCheckpoint
}

// addPart records a checkpoint part. If it completes a newer checkpoint, changes are
// counted from that checkpoint's mark.
func (s *state[V]) addPart(p part) {
	set := s.parts.add(p)
	if set == nil || set.mark <= s.completeMark {
		return
	}
	s.completeMark = set.mark
	s.checkpointSeenAt = time.Now()
	s.changesSinceCheckpoint -= s.changesBeforeMark
	s.changesBeforeMark = 0
}

// restore replaces the state by an image. It does nothing if the image is not newer
// than the state.
func (s *state[V]) restore(data []byte) error {
	r, err := decodeImage(s.reducer.schema, data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready && r.draft.applied <= s.applied() {
		return nil
	}
	s.reducer = r
	s.ready = true
	s.history = history{firstOffset: r.draft.applied + 1}
	s.mark = nil
	s.parts = newFollowCollector()
	s.publish()
	s.resolveRestored()
	return nil
}

// startEmpty sets the empty state before the first record, if the node has no state
// yet, and makes the node ready.
func (s *state[V]) startEmpty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready {
		return
	}
	s.ready = true
	s.history.firstOffset = 1
}

// publish makes the draft the current snapshot and closes the progress channel.
func (s *state[V]) publish() {
	s.snapshot.Store(s.reducer.draft.freeze())
	close(s.progress)
	s.progress = make(chan struct{})
}

// currentImage returns the image of the current state. The last image is cached,
// since many nodes may request it at once.
func (s *state[V]) currentImage() ([]byte, error) {
	s.imageMu.Lock()
	defer s.imageMu.Unlock()
	s.mu.Lock()
	ready, snap, w := s.ready, s.snapshot.Load(), s.reducer.window
	usable := s.image != nil && s.imageOffset == snap.applied
	if ready && !usable {
		w = w.clone()
	}
	s.mu.Unlock()
	if !ready {
		return nil, ErrNotReady
	}
	if usable {
		return s.image, nil
	}
	image, err := encodeImage(snap, w)
	if err == nil {
		s.image, s.imageOffset = image, snap.applied
	}
	return image, err
}

// segment returns the records at and above an offset, of at most about maxBytes.
func (s *state[V]) segment(from int64, maxBytes int) (Segment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return Segment{}, ErrNotReady
	}
	return s.history.segment(from, s.applied()+1, maxBytes)
}

// await returns a channel that receives the outcome of a change once its record is
// applied.
func (s *state[V]) await(id string) <-chan Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := make(chan Outcome, 1)
	if o, ok := s.reducer.window.get(id); ok {
		ch <- o
		return ch
	}
	s.waiters[id] = append(s.waiters[id], ch)
	return ch
}

// cancelAwait removes a channel that await returned.
func (s *state[V]) cancelAwait(id string, ch <-chan Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := slices.DeleteFunc(s.waiters[id], func(c chan Outcome) bool { return c == ch })
	if len(remaining) == 0 {
		delete(s.waiters, id)
		return
	}
	s.waiters[id] = remaining
}

// resolve sends the outcome of a change to its waiters.
func (s *state[V]) resolve(id string, o Outcome) {
	for _, ch := range s.waiters[id] {
		ch <- o
	}
	delete(s.waiters, id)
}

// resolveRestored sends outcomes to the waiters whose changes are contained in a
// restored image.
func (s *state[V]) resolveRestored() {
	for id := range s.waiters {
		if o, ok := s.reducer.window.get(id); ok {
			s.resolve(id, o)
		}
	}
}

// awaitProgress returns a channel that is closed the next time that the applied
// offset grows.
func (s *state[V]) awaitProgress() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress
}

// updateSince returns the current state and the events after an offset.
func (s *state[V]) updateSince(after int64) Update[V] {
	s.mu.Lock()
	defer s.mu.Unlock()
	events, ok := s.history.eventsFrom(after + 1)
	return Update[V]{Snapshot: s.snapshot.Load(), Events: events, Reset: !ok}
}
