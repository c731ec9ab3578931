package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/internal/decay"
)

const (
	// ejectBase is how long a failing endpoint gets no requests after its first failure. Each further
	// consecutive failure doubles it, up to ejectMax. A crashed endpoint's entry expires after three
	// heartbeats, 3.6 s, so a longer ejection has no benefit.
	ejectBase = 300 * time.Millisecond
	ejectMax  = 3 * time.Second
	// failureDecay is the weight of the newest outcome in the failure rate, which covers about ten
	// outcomes.
	failureDecay = 0.12
	// ejectRate is the failure rate above which an endpoint is ejected. Services in normal operation
	// answer up to 14% of requests with errors of their own.
	ejectRate = 0.35
	// failureHalfLife is the time in which the failure rate halves without new outcomes: an ejected
	// endpoint gets no requests and may have recovered.
	failureHalfLife = 5 * time.Second
)

// Health tracks the outcomes that this node has observed at an endpoint. The zero value has no
// observations. It is safe for concurrent use.
type Health struct {
	mu                  sync.Mutex
	rate                decay.Average             // failure rate
	consecutiveFailures int                       // consecutive connection failures
	ejectedUntil        atomic.Pointer[time.Time] // end of the ejection; written under mu; nil if never ejected
}

// RecordSuccess records a successful answer.
func (h *Health) RecordSuccess(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordOutcome(now, 0)
	h.consecutiveFailures = 0
}

// RecordFailure records a failed attempt. broken is true if the endpoint could not be reached or
// broke the connection, which ejects it for a while; other failures eject it once the failure rate
// exceeds ejectRate. It reports whether the endpoint became ejected by this call.
func (h *Health) RecordFailure(now time.Time, broken bool) (ejected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	usable := h.Usable(now)
	h.recordOutcome(now, 1)
	switch {
	case broken:
		h.eject(now, min(ejectBase<<min(h.consecutiveFailures, 4), ejectMax))
		h.consecutiveFailures++
	case h.rate.At(failureHalfLife, now) > ejectRate:
		h.eject(now, ejectMax)
	default:
		return false
	}
	return usable
}

// RecordEnd records that the endpoint ended and ejects it for ejectMax. Waiting for a
// refused connection instead would use up one of the few send attempts of each request.
func (h *Health) RecordEnd(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.eject(now, ejectMax)
}

// RecordRefusal records that the endpoint refused a request, and ejects it for the given time.
func (h *Health) RecordRefusal(now time.Time, ejection time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.eject(now, ejection)
}

// reset discards all observations.
func (h *Health) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rate, h.consecutiveFailures = decay.Average{}, 0
	h.ejectedUntil.Store(nil)
}

func (h *Health) eject(now time.Time, d time.Duration) {
	until := now.Add(d)
	if previous := h.ejectedUntil.Load(); previous == nil || until.After(*previous) {
		h.ejectedUntil.Store(&until)
	}
}

// Usable reports whether the endpoint may get requests. It takes no lock, because every request calls
// it for every endpoint.
func (h *Health) Usable(now time.Time) bool {
	until := h.ejectedUntil.Load()
	return until == nil || !now.Before(*until)
}

// FailureRate returns the recent share of failed attempts, from 0 to 1.
func (h *Health) FailureRate(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rate.At(failureHalfLife, now)
}

// recordOutcome adds an outcome to the failure rate: 1 for a failure, 0 for a success.
func (h *Health) recordOutcome(now time.Time, outcome float64) {
	h.rate.Add(outcome, failureDecay, failureHalfLife, now)
}
