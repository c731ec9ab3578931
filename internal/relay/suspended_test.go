package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/clock/clocktest"
)

// TestCopyOfASuspendedHost checks that the age of a copy includes the time during which the host was
// suspended. Otherwise other nodes would treat an old configuration as current.
func TestCopyOfASuspendedHost(t *testing.T) {
	for _, d := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			host := clocktest.New()
			c := filledCopy(host.Now())
			c.Clock = host.Clock
			time.Sleep(time.Second)
			host.Suspend(d)
			p, err := c.Since(10, maxRecordBytes, nil)
			must.NoError(t, err)
			test.Eq(t, time.Second+d, p.age)
		})
	}
}
