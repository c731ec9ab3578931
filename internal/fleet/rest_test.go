package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestRest keeps the longest rest that was asked for, and no longer than MostRest.
func TestRest(t *testing.T) {
	w := &Word{}
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	_, resting := w.Resting(start)
	test.False(t, resting)
	test.True(t, w.Rests(3*time.Second, at(0)))
	test.False(t, w.Rests(time.Second, at(0.1)), test.Sprint("it rests"))
	r, resting := w.Resting(at(2.9))
	test.True(t, resting)
	test.Eq(t, Rest{Until: at(3), At: at(0.1)}, r)
	_, resting = w.Resting(at(3))
	test.False(t, resting)
	test.True(t, w.Rests(24*time.Hour, at(4)))
	r, _ = w.Resting(at(5))
	test.Eq(t, at(4).Add(MostRest), r.Until)
}
