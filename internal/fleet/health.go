package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/internal/decay"
)

const (
	// ejectBase is the first time for which a failing endpoint gets no requests;
	// each further failure in a row doubles it up to ejectMax. A crashed endpoint
	// leaves the registry after three heartbeats, 3.6 s, so longer ones gain
	// nothing.
	ejectBase = 300 * time.Millisecond
	ejectMax  = 3 * time.Second
	// failureDecay is the weight of the newest outcome in the failure rate: about
	// ten outcomes are remembered.
	failureDecay = 0.12
	// ejectRate is the failure rate from which an endpoint is avoided. Services
	// answer up to 14% of requests with errors of their own in sound health.
	ejectRate = 0.35
	// failureHalfLife is the time in which a failure rate falls to half without any
	// outcome: an endpoint that is avoided has none, and may be sound again.
	failureHalfLife = 5 * time.Second
)

// Health judges an endpoint by the outcomes that this node saw. Its zero value is
// that of an endpoint nothing is known of. It is safe for concurrent use.
type Health struct {
	mu      sync.Mutex
	rate    decay.Average             // of failures
	inRow   int                       // connection failures
	ejected atomic.Pointer[time.Time] // until when it gets no requests; written under mu; nil where it never was
}

// Succeeded notes an answer that was sound.
func (h *Health) Succeeded(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note(now, 0)
	h.inRow = 0
}

// Failed notes a failed attempt. Where the endpoint could not be reached, or broke
// the connection, broken is true: then it gets no requests for a while. It reports
// whether the endpoint is avoided from now on and was not before.
func (h *Health) Failed(now time.Time, broken bool) (avoided bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	usable := h.Usable(now)
	h.note(now, 1)
	switch {
	case broken:
		h.eject(now, min(ejectBase<<min(h.inRow, 4), ejectMax))
		h.inRow++
	case h.rate.At(failureHalfLife, now) > ejectRate:
		h.eject(now, ejectMax)
	default:
		return false
	}
	return usable
}

// Ended notes that the endpoint ended: it gets no requests until its entry is gone. A refused
// connection would tell as much, at the price of one of each request's few sends.
func (h *Health) Ended(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.eject(now, ejectMax)
}

// Refused notes that the endpoint would not take a request for now.
func (h *Health) Refused(now time.Time, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.eject(now, pause)
}

func (h *Health) eject(now time.Time, d time.Duration) {
	until := now.Add(d)
	if before := h.ejected.Load(); before == nil || until.After(*before) {
		h.ejected.Store(&until)
	}
}

// Usable reports whether the endpoint should get requests. Each request asks it of each endpoint.
func (h *Health) Usable(now time.Time) bool {
	until := h.ejected.Load()
	return until == nil || !now.Before(*until)
}

// FailureRate returns the recent share of failed attempts, 0 to 1.
func (h *Health) FailureRate(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rate.At(failureHalfLife, now)
}

// note takes an outcome, 1 for a failure, into the rate.
func (h *Health) note(now time.Time, outcome float64) {
	h.rate.Note(outcome, failureDecay, failureHalfLife, now)
}
