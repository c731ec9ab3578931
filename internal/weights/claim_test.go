package weights

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/coord/claim"
)

// slowLog is a log whose calls take a while.
type slowLog struct {
	*memLog
	takes time.Duration
}

func (l slowLog) Append(ctx context.Context, data []byte) (int64, error) {
	time.Sleep(l.takes)
	return l.memLog.Append(ctx, data)
}

func (l slowLog) Read(ctx context.Context, from int64, most int) ([]claim.Record, int64, error) {
	time.Sleep(l.takes)
	return l.memLog.Read(ctx, from, most)
}

// TestMuteEngineLosesNoClaim has a holder keep its claim where one engine never reports and the
// log takes 100 ms a call: orders go by the renewed claim, not by the one before the reports.
func TestMuteEngineLosesNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nine()...)
		w.reporter = mute{w.engines, firstBehind(w.ids, 2, 1)}
		w.claims = slowLog{w.log, 100 * time.Millisecond}
		stop := w.node(t, "n1")
		time.Sleep(time.Second)
		w.name(2)
		time.Sleep(2 * time.Second)
		lapses := 0
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			if !w.services["n1"].Leads() {
				lapses++
			}
		}
		test.Eq(t, 0, lapses, test.Sprint("looks that find no holder"))
		stop()
	})
}
