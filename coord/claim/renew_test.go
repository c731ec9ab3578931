package claim_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/claim"
)

const (
	renewTTL   = 4 * time.Second
	renewGrace = 3 * time.Second
)

func renewClaimer(t *testing.T, log claim.Log, holder string) *claim.Claimer {
	t.Helper()
	c, err := claim.New(claim.Config{
		Log: log, Clock: claim.NewSystemClock(), Holder: holder, Random: rand.Int64N,
		OrderTimeout: 500 * time.Millisecond, Grace: renewGrace, MaxTTL: 10 * time.Second, Poll: 100 * time.Millisecond,
	})
	must.NoError(t, err)
	return c
}

// TestRenewKeepsClaimExclusive renews a claim several times. A contender that waits from the
// start acquires the resource only after the last renewal has expired and the grace period has
// passed.
func TestRenewKeepsClaimExclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memLog{}
		a, b := renewClaimer(t, log, "a"), renewClaimer(t, log, "b")
		held, err := a.Acquire(t.Context(), "r", renewTTL)
		must.NoError(t, err)
		won := make(chan time.Time, 1)
		tokens := make(chan int64, 1)
		go func() {
			next, err := b.Acquire(t.Context(), "r", renewTTL)
			must.NoError(t, err)
			won <- time.Now()
			tokens <- next.Token()
		}()
		var last time.Time
		for range 5 {
			time.Sleep(renewTTL / 2)
			renewed, err := a.Renew(t.Context(), held, renewTTL)
			must.NoError(t, err)
			test.Greater(t, held.Token(), renewed.Token())
			held, last = renewed, time.Now()
		}
		got := <-won
		test.GreaterEq(t, renewTTL+renewGrace, got.Sub(last))
		test.Greater(t, held.Token(), <-tokens)
		time.Sleep(renewTTL) // the goroutines that cancel the claims' contexts end
	})
}

// TestRenewFailsAfterClaimEnded checks that a claim that expired or was released cannot be
// renewed.
func TestRenewFailsAfterClaimEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memLog{}
		a, b := renewClaimer(t, log, "a"), renewClaimer(t, log, "b")
		held, err := a.Acquire(t.Context(), "r", renewTTL)
		must.NoError(t, err)
		time.Sleep(renewTTL)
		_, err = a.Renew(t.Context(), held, renewTTL)
		test.ErrorIs(t, err, claim.ErrNotValid)

		next, err := b.Acquire(t.Context(), "r", renewTTL)
		must.NoError(t, err)
		must.NoError(t, next.Release(t.Context()))
		_, err = b.Renew(t.Context(), next, renewTTL)
		test.ErrorIs(t, err, claim.ErrNotValid)
	})
}

// TestRenewWithLogUnavailable checks that a failed renewal leaves the held claim valid.
func TestRenewWithLogUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memLog{}
		a := renewClaimer(t, log, "a")
		held, err := a.Acquire(t.Context(), "r", renewTTL)
		must.NoError(t, err)
		log.down = true
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = a.Renew(ctx, held, renewTTL)
		test.Error(t, err)
		test.True(t, held.Valid(time.Second))
		time.Sleep(renewTTL)
	})
}
