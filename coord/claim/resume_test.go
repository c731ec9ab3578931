package claim_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/claim"
)

// slowAppendLog is a log whose appends take a while once they are slow.
type slowAppendLog struct {
	*memLog
	took time.Duration
}

func (l *slowAppendLog) Append(ctx context.Context, data []byte) (int64, error) {
	time.Sleep(l.took)
	return l.memLog.Append(ctx, data)
}

// TestExpiredClaimIsResumedWithoutGrace checks that a holder whose claim has expired goes on at once, and that a
// contender waits for the resumed claim.
func TestExpiredClaimIsResumedWithoutGrace(t *testing.T) {
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
		time.Sleep(renewTTL + renewGrace/2)
		must.False(t, held.Valid(0))
		began := time.Now()
		resumed, err := a.Resume(t.Context(), held, renewTTL)
		must.NoError(t, err)
		test.Eq(t, began, time.Now())
		test.Greater(t, held.Token(), resumed.Token())
		got := <-won
		test.GreaterEq(t, renewTTL+renewGrace, got.Sub(began))
		test.Greater(t, resumed.Token(), <-tokens)
		_, err = a.Resume(t.Context(), resumed, renewTTL)
		test.ErrorIs(t, err, claim.ErrNotValid)
		time.Sleep(renewTTL) // the goroutines that cancel the claims' contexts end
	})
}

// TestResumeRecognizesItsEarlierRecord checks that a holder is not kept from its claim by a record of its own whose
// outcome it had not read.
func TestResumeRecognizesItsEarlierRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowAppendLog{memLog: &memLog{}}
		a := renewClaimer(t, log, "a")
		held, err := a.Acquire(t.Context(), "r", renewTTL)
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		log.took = 2 * time.Second
		_, err = a.Resume(ctx, held, renewTTL)
		cancel()
		test.ErrorIs(t, err, context.DeadlineExceeded)
		log.took = renewTTL
		_, err = a.Resume(t.Context(), held, renewTTL)
		test.ErrorIs(t, err, claim.ErrLate)
		log.took = 0
		resumed, err := a.Resume(t.Context(), held, renewTTL)
		must.NoError(t, err)
		test.Greater(t, held.Token(), resumed.Token())
		time.Sleep(renewTTL)
	})
}

// TestReleasedClaimIsNotResumed checks that a released claim can't be resumed.
func TestReleasedClaimIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := renewClaimer(t, &memLog{}, "a")
		held, err := a.Acquire(t.Context(), "r", renewTTL)
		must.NoError(t, err)
		must.NoError(t, held.Release(t.Context()))
		_, err = a.Resume(t.Context(), held, renewTTL)
		test.ErrorIs(t, err, claim.ErrNotValid)
	})
}
