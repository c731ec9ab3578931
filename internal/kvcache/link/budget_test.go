package link

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const mb = 1 << 20

var start = time.Unix(1000, 0)

func TestImportsPrecedeExports(t *testing.T) {
	b := NewBudget(10 * mb)
	_, err := b.Reserve(start, Export, 15*mb, time.Time{})
	must.NoError(t, err)
	_, err = b.Reserve(start, Export, 15*mb, time.Time{})
	must.ErrorIs(t, err, ErrBusy)
	must.Eq(t, 0, b.QueueDelay(start, Import))
	in, err := b.Reserve(start, Import, 10*mb, start.Add(time.Second))
	must.NoError(t, err)
	must.Eq(t, time.Second, in.ExpectedDuration)
	_, err = b.Reserve(start, Import, mb, start.Add(time.Second))
	must.ErrorIs(t, err, ErrTooSlow)
	b.Cancel(start, in.ID)
	b.Cancel(start, in.ID)
	_, err = b.Reserve(start, Import, mb, start.Add(time.Second))
	must.NoError(t, err)
	out := NewBudget(10 * mb)
	_, err = out.Reserve(start, Import, mb, time.Time{})
	must.NoError(t, err)
	slow, err := out.Reserve(start, Export, mb, time.Time{})
	must.NoError(t, err)
	must.Eq(t, 10*mb/4, slow.BytesPerSecond)
}

func TestReservationsExpire(t *testing.T) {
	b := NewBudget(10 * mb)
	r, err := b.Reserve(start, Import, 10*mb, time.Time{})
	must.NoError(t, err)
	must.Eq(t, start.Add(3*time.Second+expirySlack), r.Expires)
	must.Eq(t, time.Second, b.QueueDelay(r.Expires, Import))
	must.Eq(t, 0, b.QueueDelay(r.Expires.Add(1), Import))
	b.Done(r.Expires.Add(2), r.ID, 10*mb) // after the expiry: no effect
	must.Eq(t, 10*mb, b.BytesPerSecond(r.Expires.Add(2), Import))
}

// run makes consecutive transfers over a link with the given actual speed and
// returns the time at the end.
func run(t *testing.T, b *Budget, now time.Time, speed float64, transfers int) time.Time {
	for range transfers {
		r, err := b.Reserve(now, Import, mb, time.Time{})
		must.NoError(t, err)
		now = now.Add(seconds(mb / min(speed, float64(r.BytesPerSecond))))
		b.Done(now, r.ID, mb)
	}
	return now
}

func TestSpeedIsMeasured(t *testing.T) {
	b := NewBudget(10 * mb)
	now := run(t, b, start, mb, 20)
	must.Between(t, 0.95*mb, b.BytesPerSecond(now, Import), 1.05*mb)
	now = run(t, b, now, 8*mb, 20)
	must.Between(t, 7.5*mb, b.BytesPerSecond(now, Import), 8.5*mb)
	now = run(t, b, now, mb, 20).Add(10 * time.Minute)
	must.Greater(t, 9*mb, b.BytesPerSecond(now, Import)) // an old measurement expires
	// Two concurrent transfers at half speed each do not mean that the link is slower.
	c := NewBudget(10 * mb)
	for range 10 {
		one, _ := c.Reserve(now, Import, mb, time.Time{})
		two, _ := c.Reserve(now, Import, mb, time.Time{})
		now = now.Add(200 * time.Millisecond)
		c.Done(now, one.ID, mb)
		c.Done(now, two.ID, mb)
	}
	must.Between(t, 9*mb, c.BytesPerSecond(now, Import), 10*mb)
}

func TestAbortLowersMeasuredSpeed(t *testing.T) {
	b, now := NewBudget(10*mb), start
	for range 10 {
		r, err := b.Reserve(now, Import, mb, time.Time{})
		must.NoError(t, err)
		b.Abort(now.Add(r.ExpectedDuration/2), r.ID) // ended before the expected time: no measurement
		must.Eq(t, 10*mb, b.BytesPerSecond(now, Import))
	}
	for range 10 {
		r, err := b.Reserve(now, Import, mb, now.Add(10*time.Second))
		must.NoError(t, err)
		now = now.Add(10 * time.Second)
		b.Abort(now, r.ID)
	}
	_, err := b.Reserve(now, Import, mb, now.Add(time.Second))
	must.ErrorIs(t, err, ErrTooSlow)
}

func TestPriceRisesWithUse(t *testing.T) {
	idle, busy := NewBudget(10*mb), NewBudget(10*mb)
	must.Between(t, 0.99/(10*mb), idle.Price(start), 1.01/(10*mb))
	now := run(t, busy, start, 10*mb, 1200)
	must.Greater(t, 5*idle.Price(now), busy.Price(now))
	later := now.Add(5 * time.Minute)
	must.Less(t, 1.1*idle.Price(later), busy.Price(later))
}

func TestPathReservesAllOrNone(t *testing.T) {
	store, link := NewBudget(100*mb), NewBudget(10*mb)
	path := Path{store, link}
	reservation, err := path.Reserve(start, Import, 10*mb, start.Add(time.Second))
	must.NoError(t, err)
	must.Eq(t, time.Second, reservation.ExpectedDuration)
	must.Eq(t, 10*mb, reservation.BytesPerSecond)
	must.Eq(t, Estimate{BytesPerSecond: 10 * mb, QueueDelay: time.Second}, path.Estimate(start, Import))
	_, err = path.Reserve(start, Import, 10*mb, start.Add(time.Second))
	must.ErrorIs(t, err, ErrTooSlow)
	must.Eq(t, 100*time.Millisecond, store.QueueDelay(start, Import))
	reservation.Done(start.Add(time.Second), 10*mb)
	must.Eq(t, 0, path.Estimate(start.Add(time.Second), Import).QueueDelay)
}
