package decay

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

func TestAverage(t *testing.T) {
	const halfLife = 2 * time.Second
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var a Average
	test.Eq(t, 0.0, a.At(halfLife, now))
	a.Add(100, 0.4, halfLife, now)
	test.InDelta(t, 40, a.At(halfLife, now), 1e-9)
	now = now.Add(halfLife)
	test.InDelta(t, 20, a.At(halfLife, now), 1e-9)
	a.Add(0, 0.5, halfLife, now)
	test.InDelta(t, 10, a.At(halfLife, now), 1e-9)
}

func TestRate(t *testing.T) {
	const halfLife = 2 * time.Second
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var r Rate
	test.Eq(t, 0.0, r.At(halfLife, now))
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		r.Add(3, halfLife, now)
	}
	test.InDelta(t, 60, r.At(halfLife, now), 1)
	test.InDelta(t, 30, r.At(halfLife, now.Add(halfLife)), 0.5)
}
