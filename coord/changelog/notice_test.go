package changelog_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/coord/changelog/logtest"
)

// unresponsivePeer is a single peer that does not respond to the first notices.
type unresponsivePeer struct {
	unanswered int // number of further notices to leave without a response
	received   chan changelog.Notice
}

var _ changelog.Peers = (*unresponsivePeer)(nil)

func (*unresponsivePeer) Members() []string { return []string{"deaf", "teller"} }

func (p *unresponsivePeer) Notify(ctx context.Context, _ string, n changelog.Notice) error {
	if p.unanswered--; p.unanswered >= 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	p.received <- n
	return nil
}

func (*unresponsivePeer) Records(context.Context, string, int64) (changelog.Notice, error) {
	return changelog.Notice{}, errUnreachable
}

func (*unresponsivePeer) Image(context.Context, string) ([]byte, error) {
	return nil, errUnreachable
}

// The age in a notice must include the time of failed deliveries. Otherwise the
// receiver understates the time since the last read of the log, by up to 2 s if only
// the last attempt succeeds.
func TestNoticeAgeIncludesFailedDeliveries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failedAttempts = 4
		log := &logtest.Log{Delay: 5 * time.Millisecond}
		p := &unresponsivePeer{unanswered: failedAttempts, received: make(chan changelog.Notice, 100)}
		s := changelog.NewStore(log, limits{}, 0)
		f := changelog.NewFollower(s, p, changelog.Options{Self: "teller", Rand: rand.New(rand.NewPCG(1, 1)),
			Checkpoint: changelog.CheckpointPolicy{Changes: 10000, Interval: time.Hour}, MaxLogAge: time.Hour, MaxContactAge: time.Hour})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		n := <-p.received
		must.GreaterEq(t, failedAttempts*500*time.Millisecond, n.LogAge)
		cancel()
		<-done
	})
}
