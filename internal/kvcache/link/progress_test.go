package link

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestProgressReducesQueueAndMeasuresSpeed(t *testing.T) {
	b := NewBudget(10 * mb)
	reservation, err := Path{b}.Reserve(start, Import, 100*mb, time.Time{})
	must.NoError(t, err)
	now := start
	for range 8 { // at a tenth of the limit
		now = now.Add(10 * time.Second)
		reservation.Progress(now, 10*mb)
	}
	must.Between(t, mb, b.BytesPerSecond(now, Import), 2*mb)
	must.Between(t, 10*time.Second, b.QueueDelay(now, Import), 20*time.Second)
	reservation.Progress(now, 1000*mb) // more than reserved is ignored
	must.Eq(t, 0, b.QueueDelay(now, Import))
	reservation.Done(now, 0)
	reservation.Progress(now, mb) // unknown reservation: no effect
	must.Eq(t, 0, b.QueueDelay(now, Import))
}
