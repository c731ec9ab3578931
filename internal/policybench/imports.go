package policybench

import (
	"strconv"

	"github.com/cherryward/cherryward/internal/kvcache/link"
	"github.com/cherryward/cherryward/internal/placement"
)

// fullImport returns the import of the longest prefix that a store holds beyond the engine's memory.
func fullImport(c placement.Choice, held []placement.StoreEstimate) placement.Import {
	imp := placement.Import{FromToken: c.Cached}
	for _, st := range held {
		if extra := st.HeldTokens - c.Cached; st.Status == placement.Known && extra > imp.Tokens {
			imp.Store, imp.Tokens = st.Store, extra
			imp.Bytes = int64(extra) / blockTokens * blockBytes
			imp.Patience = timeLimit
			imp.Transfer = st.QueueDelay + seconds(float64(imp.Bytes)/st.Rate)
		}
	}
	return imp
}

// move transfers n blocks sequentially over a store's link. It calls each after every block, and done
// when all blocks have been moved or the link has failed.
func (st *store) move(res link.Reservation, n int, each func(i int), done func(ok bool)) *blockMove {
	m := &blockMove{store: st, res: res}
	var next func(i int)
	next = func(i int) {
		if i == n {
			st.budget.Done(st.s.now(), res.ID, 0)
			done(true)
			return
		}
		m.transfer = &transfer{left: blockBytes, maxRate: float64(res.BytesPerSecond)}
		m.transfer.done = func(ok bool) {
			if !ok {
				st.budget.Cancel(st.s.now(), res.ID)
				done(false)
				return
			}
			st.budget.Progress(st.s.now(), res.ID, blockBytes)
			each(i)
			next(i + 1)
		}
		st.link.start(m.transfer)
	}
	next(0)
	return m
}

// blockMove is a move in progress.
type blockMove struct {
	store    *store
	transfer *transfer
	res      link.Reservation
}

// reserveImport starts an import of the blocks that the store still holds, without the head that the
// engine computes. It returns the number of tokens to be imported, 0 if the link can't import them in
// time.
func (s *system) reserveImport(j *job, o *owner, imp placement.Import) int {
	i, _ := strconv.Atoi(imp.Store)
	st := s.stores[i]
	from := imp.FromToken/blockTokens + j.head
	n := min(imp.Tokens/blockTokens-j.head, st.heldPrefix(j.turn.promptBlocks())-from)
	if n <= 0 {
		return 0
	}
	return st.importBlocks(j, o, from, n)
}

// importBlocks starts the import of n blocks for a job, from block index from on. It returns the
// number of tokens, or 0 if the link has no capacity for them within the time limit.
func (st *store) importBlocks(j *job, o *owner, from, n int) int {
	s := st.s
	res, err := st.budget.Reserve(s.now(), link.Import, int64(n)*blockBytes, epoch.Add(j.turn.at+timeLimit))
	if err != nil {
		return 0
	}
	s.audit.checkImport(st, j.turn.promptBlocks(), from, n)
	var t *tail
	if j.head > 0 {
		t = &tail{from: from * blockTokens}
	}
	j.tail = t
	run, arrived := j.id, 0
	each := func(i int) {
		arrived++
		o.imported(j.turn, from+i)
	}
	j.imp = st.move(res, n, each, func(bool) {
		j.imp = nil
		if t != nil {
			t.arrived = arrived * blockTokens
			t.end()
		}
		o.runUnpaused(func() { o.state.ImportDone(run, arrived*blockTokens) })
	})
	return n * blockTokens
}

// detachTail detaches the import of a granted job from the job if the engine is to wait for it. It
// returns nil otherwise.
func (s *system) detachTail(run string) *tail {
	j := s.jobs[run]
	if j == nil || j.tail == nil {
		return nil
	}
	t := j.tail
	j.imp, j.tail = nil, nil
	return t
}

// cancelImport cancels a job's import. Blocks that have arrived are kept.
func (s *system) cancelImport(j *job) {
	if j.imp == nil {
		return
	}
	j.imp.store.link.cancel(j.imp.transfer)
	j.imp.store.budget.Abort(s.now(), j.imp.res.ID)
	j.imp, j.tail = nil, nil
}
