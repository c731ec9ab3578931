package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/clock/clocktest"
)

// TestCopyOfASuspendedHost: a host that wakes tells the age of its copy with the time in which it was
// suspended. Others would take an old configuration for a current one.
func TestCopyOfASuspendedHost(t *testing.T) {
	for _, d := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			host := clocktest.New()
			c := filled(host.Now())
			c.Clock = host.Clock
			time.Sleep(time.Second)
			host.Suspend(d)
			p, err := c.Since(10, answerBytes)
			must.NoError(t, err)
			test.Eq(t, time.Second+d, p.age)
		})
	}
}
