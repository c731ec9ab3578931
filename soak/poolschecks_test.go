package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestServersThatAreAwayStayAway guards against faults that bring a server back while its release is out.
func TestServersThatAreAwayStayAway(t *testing.T) {
	w, _ := newIdleWorld(t)
	w.t = t
	restore := w.remove(0)
	w.leave(0)
	restore()
	w.restart(0)
	test.False(t, w.site.IsRunning(0))
	now := time.Now()
	test.Eq(t, 1, w.servedBy(firstRelease, now, now))
	w.comeIn(0)
	test.True(t, w.site.IsRunning(0))
	test.Len(t, 1, w.removed[0].list)
	test.False(t, w.removed[0].list[0].to.IsZero())
}
