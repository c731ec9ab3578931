package kvcache

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	breakerFailures = 3 // consecutive failures that open the breaker
	breakerMinPause = time.Second
	breakerMaxPause = 30 * time.Second
)

// ErrBreakerOpen is returned instead of calling a store host whose circuit breaker
// is open.
var ErrBreakerOpen = errors.New("kvcache: store host unavailable: circuit breaker is open")

// breaker is the circuit breaker of one store host. It opens after repeated errors
// or timeouts, so that prompts are recomputed without waiting for the store host.
// While it is open it allows one trial call after each pause; the pause doubles up
// to 30 s. Safe for concurrent use.
type breaker struct {
	mu           sync.Mutex
	failures     int
	blockedUntil time.Time // no calls before this time
	pause        *backoff.ExponentialBackOff
}

// newBreaker returns a closed breaker, which allows calls.
func newBreaker() *breaker {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = breakerMinPause
	pause.MaxInterval = breakerMaxPause
	pause.Multiplier = 2
	pause.RandomizationFactor = 0 // a store host normally has one owner, so retries need no jitter
	return &breaker{pause: pause}
}

// Allow reports whether a call may be made. While the breaker is open it allows
// one call after each pause.
func (b *breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return true
	}
	if now.Before(b.blockedUntil) {
		return false
	}
	b.blockedUntil = now.Add(b.pause.NextBackOff())
	return true
}

// Open reports whether the breaker is open. Unlike Allow it does not change state.
func (b *breaker) Open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= breakerFailures
}

// Record updates the breaker with the outcome of a call. ErrExists and ErrNotFound
// count as successes because the store host responded; calls canceled by the
// caller are ignored.
func (b *breaker) Record(now time.Time, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil || errors.Is(err, ErrExists) || errors.Is(err, ErrNotFound) {
		b.failures = 0
		b.pause.Reset()
		return
	}
	b.failures++
	if b.failures == breakerFailures {
		b.blockedUntil = now.Add(b.pause.NextBackOff())
	}
}
