package enginestate

import "time"

const (
	// leavingRetry is the retry delay given to callers of a leaving engine.
	leavingRetry = time.Second
	// maxFailures is the number of consecutive failures that take an engine out of rotation.
	maxFailures = 3
	minPause    = time.Second
	// maxPause bounds the time until an engine that has recovered is used again. A probe costs a
	// caller one more attempt elsewhere.
	maxPause = 10 * time.Second
)

// health takes an engine out of rotation after consecutive failures. After a pause it grants one
// run as a probe; other requests wait until the probe ends.
type health struct {
	failures    int
	lastFailure time.Time // when the last failure was counted
	pausedUntil time.Time // end of the pause out of rotation
	pause       time.Duration
	probing     bool // a probe is running
}

func (h *health) isOut() bool { return h.failures >= maxFailures }

// remainingPause returns how long the engine stays out of rotation; 0 if it is in rotation or if a
// probe may run.
func (h *health) remainingPause(now time.Time) time.Duration {
	if !h.isOut() {
		return 0
	}
	return max(h.pausedUntil.Sub(now), 0)
}

// unavailableFor returns how long the engine will accept no new requests; 0 if it accepts them.
func (e *Engine) unavailableFor(now time.Time) time.Duration {
	if e.leaving {
		return leavingRetry
	}
	return e.health.remainingPause(now)
}

// probeWait returns the expected wait for the end of a probe, long enough that other engines are
// preferred.
func (h *health) probeWait() time.Duration {
	if h.probing {
		return minPause
	}
	return 0
}

func (h *health) granted() {
	h.probing = h.isOut()
}

func (h *health) succeeded() {
	*h = health{}
}

// inconclusive ends a probe without a result.
func (h *health) inconclusive() {
	h.probing = false
}

// failed counts the failure of a run. Failures of runs granted before the last counted failure are
// assumed to have the same cause, and are not counted.
func (h *health) failed(now, granted time.Time) {
	if granted.Before(h.lastFailure) {
		return
	}
	h.lastFailure = now
	h.failures++
	h.probing = false
	if !h.isOut() {
		return
	}
	h.pause = min(max(2*h.pause, minPause), maxPause)
	h.pausedUntil = now.Add(h.pause)
}
