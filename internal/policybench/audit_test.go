package policybench

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/fairqueue"
	"github.com/cherryward/cherryward/internal/enginestate"
)

// TestAuditCatchesBrokenVariants verifies that the audit reports no violation for a correct run and
// the expected one for each deliberately broken variant. With a batch size of two the limit on
// grants is reached.
func TestAuditCatchesBrokenVariants(t *testing.T) {
	unlimited := enginestate.Config{Classes: []fairqueue.Class{{Weight: 1}}, MaxQueue: maxQueue, PrefillRate: assumedRate}
	cases := []struct {
		name     string
		breakRun func(s *system, last *turn)
		want     string
	}{
		{"sound", func(*system, *turn) {}, ""},
		{"a turn is sent twice", func(s *system, last *turn) {
			s.after(last.at, func() { s.send(&job{turn: last}) })
		}, "2 answers"},
		{"an engine hangs", func(s *system, _ *turn) { s.engines[8].prefill = &run{} }, "0 answers"},
		{"owners grant without end", func(s *system, _ *turn) {
			for _, o := range s.owners[0] {
				o.state = enginestate.New(s.now(), unlimited)
			}
		}, "3 runs granted"},
		{"an import of what no store holds", func(s *system, last *turn) {
			s.after(time.Minute, func() { s.stores[0].importBlocks(&job{turn: last, id: "x"}, s.owners[0][0], 0, 1) })
		}, "import up to block 1 of 0 held"},
		{"a link counts twice", func(s *system, _ *turn) {
			s.stores[0].link.moved = func(bytes float64) { s.moved(2 * bytes) }
		}, "links moved"},
		{"a transfer is left out", func(s *system, _ *turn) {
			s.stores[0].link.ended = func(*transfer) {}
		}, "links moved"},
	}
	p, h := Darkhan, Horizon{End: 20 * time.Minute}
	p.MaxRunning = 2
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, turns := newSystem(&p, DaemonPolicy, 1, h), workload(&p, h.End, 1)
			last := turns[len(turns)-200]
			tc.breakRun(s, last)
			broken := s.simulate(tc.name, turns, h.End).Violations
			if tc.want == "" {
				must.SliceEmpty(t, broken)
				return
			}
			test.StrContains(t, strings.Join(broken, "; "), tc.want)
		})
	}
}
