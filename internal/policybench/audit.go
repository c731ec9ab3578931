package policybench

import (
	"fmt"
	"math"

	"github.com/cherryward/cherryward/internal/kvcache"
)

// audit checks invariants that must hold in every run under every policy.
type audit struct {
	granted    map[*engine]int
	moved      float64 // bytes moved, as counted by the links
	delivered  float64 // bytes moved, as counted by the transfers
	reported   map[string]bool
	violations []string
}

// maxDecodeTime is an upper bound on the time of a decode: the time with 100 runs in the batch.
const maxDecodeTime = maxOutput * (decodeStep + 100*decodePerRun)

// addViolation records the first violation with each format.
func (a *audit) addViolation(format string, args ...any) {
	if !a.reported[format] {
		a.reported[format] = true
		a.violations = append(a.violations, fmt.Sprintf(format, args...))
	}
}

// countGrant counts a granted run. The number of grants in force must not exceed the engine's
// batch size.
func (a *audit) countGrant(o *owner) {
	a.granted[o.engine]++
	if n := a.granted[o.engine]; n > o.engine.maxRunning {
		a.addViolation("engine %s: %d runs granted", o.name, n)
	}
}

// checkImport checks that a store holds the n blocks from index from on that are about to be
// imported.
func (a *audit) checkImport(st *store, blocks []kvcache.Block, from, n int) {
	if held := st.heldPrefix(blocks); held < from+n {
		a.addViolation("store %s: import up to block %d of %d held", st.name, from+n, held)
	}
}

// countTransfer adds the bytes that a transfer moved until it ended.
func (a *audit) countTransfer(t *transfer) { a.delivered += blockBytes - t.left }

// check checks at the end of a run that each turn was answered once, and that the bytes counted by
// links and transfers agree and don't exceed the links' capacity.
func (a *audit) check(s *system, turns []*turn) {
	for _, t := range turns {
		expired := t.at+timeLimit+maxDecodeTime < s.at
		if t.answers > 1 || expired && t.answers == 0 {
			a.addViolation("turn %d of conversation %d: %d answers", t.number, t.conv.id, t.answers)
		}
	}
	capacity := 0.0
	for _, st := range s.stores {
		capacity += s.profile.LinkBytes * s.at.Seconds()
		st.link.advance()
		for _, t := range st.link.active {
			a.countTransfer(t)
		}
	}
	if math.Abs(a.moved-a.delivered) > blockBytes/1000+a.moved/1e6 || a.moved > capacity {
		a.addViolation("links moved %.0f bytes, transfers %.0f, capacity %.0f", a.moved, a.delivered, capacity)
	}
}
