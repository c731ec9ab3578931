package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/standin/fault"
)

// maxRetainedEvents is the number of cache events that are retained for readers.
const maxRetainedEvents = 1 << 16

type timedEvent struct {
	enginewire.KVEvent
	at time.Time // time of publication
}

// events is the log of cache changes, numbered from 1.
type events struct {
	delay           time.Duration
	seq             uint64
	lastPublishedAt time.Time // publication time of event seq, even if that was dropped
	retained        []timedEvent
	changed         chan struct{}
}

func newEvents(delay time.Duration) *events {
	return &events{delay: delay, changed: make(chan struct{})}
}

// add appends a change. Each dropEvery-th change gets a number, but is dropped.
func (ev *events) add(id blockID, removed bool, dropEvery uint64) {
	ev.seq++
	ev.lastPublishedAt = time.Now().Add(ev.delay)
	if dropEvery > 0 && ev.seq%dropEvery == 0 {
		return
	}
	event := enginewire.KVEvent{Seq: ev.seq, Block: id.String(), Removed: removed}
	ev.retained = append(ev.retained, timedEvent{event, ev.lastPublishedAt})
	if len(ev.retained) > maxRetainedEvents {
		ev.retained = ev.retained[1:]
	}
	close(ev.changed)
	ev.changed = make(chan struct{})
}

// read returns the published events after since, the value of since for the next read, and the
// publication time of the next retained event, which is zero if none is pending.
func (ev *events) read(since uint64, now time.Time) (out []enginewire.KVEvent, next uint64, pending time.Time) {
	next = min(since, ev.seq)
	for _, event := range ev.retained {
		if event.Seq <= since {
			continue
		}
		if event.at.After(now) {
			return out, next, event.at
		}
		out = append(out, event.KVEvent)
		next = event.Seq
	}
	if !ev.lastPublishedAt.After(now) {
		next = ev.seq
	}
	return out, next, time.Time{}
}

// serveEvents serves the events after ?since=SEQ, and waits up to wait_ms for the first one.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = 0
	}
	waitMS, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		waitMS = 0
	}
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	for {
		answer, wait := e.readEvents(since, deadline)
		if len(answer.Events) > 0 || answer.Next != since || !wait(r.Context().Done()) {
			fault.WriteJSON(w, http.StatusOK, answer)
			return
		}
		if e.Faults.Get().stopped() && !e.Faults.Wait(r.Context().Done()) {
			fault.Drop()
		}
	}
}

// readEvents returns the events after since and a function that waits until there may be more. The
// function returns false if the deadline has passed, done is closed or the incarnation ended.
func (e *Engine) readEvents(since uint64, deadline time.Time) (enginewire.Events, func(done <-chan struct{}) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	found, next, pending := e.events.read(since, now)
	until := deadline
	if !pending.IsZero() && pending.Before(deadline) {
		until = pending
	}
	changed, terminated, faults := e.events.changed, e.terminated, e.Faults.Changed()
	wait := func(done <-chan struct{}) bool {
		if !now.Before(deadline) {
			return false
		}
		timer := time.NewTimer(until.Sub(now))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-changed:
		case <-faults:
		case <-terminated:
			return false
		case <-e.closed:
			return false
		case <-done:
			return false
		}
		return true
	}
	return enginewire.Events{Incarnation: e.name, Events: found, Next: next}, wait
}
