package weights

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/fleet"
)

// callTimeout is how long the platform's client waits for a report.
const callTimeout = 700 * time.Millisecond

// mute are engines of which some never answer a report.
type mute struct {
	*engines
	ids map[string]bool
}

func (m mute) Report(ctx context.Context, at *fleet.Endpoint) (Report, error) {
	if !m.ids[at.ID] {
		return m.engines.Report(ctx, at)
	}
	select {
	case <-ctx.Done():
	case <-time.After(callTimeout):
	}
	return Report{}, errDown
}

// firstBehind returns the first engines in the order of a version.
func firstBehind(ids []string, version int64, n int) map[string]bool {
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, func(a, b string) int {
		if place(version, a) < place(version, b) {
			return -1
		}
		return 1
	})
	first := make(map[string]bool)
	for _, id := range sorted[:n] {
		first[id] = true
	}
	return first
}

// behindBut returns the number of engines with an older version, but for some.
func (w *world) behindBut(some map[string]bool, version int64) int {
	n := 0
	for i, has := range w.versions() {
		if !some[w.ids[i]] && has < version {
			n++
		}
	}
	return n
}

// TestMuteEnginesMakeRoom brings the other engines to a version where the first ones that are
// due never report.
func TestMuteEnginesMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nine()...)
		muted := firstBehind(w.ids, 2, 3)
		w.reporter = mute{w.engines, muted}
		stop := w.node(t, "n1")
		time.Sleep(time.Second)
		w.name(2)
		time.Sleep(40 * time.Second)
		test.Eq(t, 0, w.behindBut(muted, 2), test.Sprint("engines that answer and still have the older version"))
		stop()
	})
}

// TestDeafEnginesMakeRoom does the same where the first ones report, and take no order.
func TestDeafEnginesMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nine()...)
		deaf := firstBehind(w.ids, 2, 3)
		for id := range deaf {
			w.engines.silent[id] = 1000
		}
		stop := w.node(t, "n1")
		time.Sleep(time.Second)
		w.name(2)
		time.Sleep(40 * time.Second)
		test.Eq(t, 0, w.behindBut(deaf, 2), test.Sprint("engines that take orders and still have the older version"))
		stop()
	})
}
