package kvindex

import (
	"testing"

	"github.com/shoenig/test"
)

func TestLateness(t *testing.T) {
	var l Lateness
	test.Eq(t, 0, l.MS(now))
	l.Observe(-50, now)
	test.Eq(t, 0, l.MS(now), test.Sprint("early arrivals count as 0"))
	for range 10 {
		l.Observe(800, now)
	}
	test.Greater(t, 780, l.MS(now))
	test.Less(t, 410, l.MS(now.Add(latenessHalfLife)), test.Sprint("it decays without new fetches"))
	l.Observe(0, now)
	test.Less(t, 500, l.MS(now))
}
