package engine

import (
	"sync/atomic"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
)

type phase int32

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseEnded
)

// modelKey identifies weights that can be loaded.
type modelKey struct{ model, version, adapter string }

func (o origin) key() modelKey { return modelKey{o.model, o.version, o.adapter} }

// run is one request. It is guarded by the engine's lock, except for the fields that are set before
// it is shared and the atomics, which its stream reads.
type run struct {
	id           string
	incarnation  string
	terminated   chan struct{} // closed when the incarnation ends
	from         origin
	priority     int
	arrival      uint64
	deadline     time.Time // latest start; zero means none
	hash         uint64
	seed         int64
	firstWord    int // number of words in Continue
	promptTokens int
	maxTokens    int
	finish       string
	chain        *chain

	cached      int // prompt blocks that were cached at the start
	pinned      int // number of blocks of the chain that the run has pinned
	started     bool
	prefillLeft int
	prefillStep int // prompt tokens computed in the current step
	blocks      []enginewire.Block
	err         *enginewire.Error
	reader      chan struct{} // wakes the attached stream; nil if there is none

	phase    atomic.Int32
	produced atomic.Int32
}

func (e *Engine) newRun(req *enginewire.RunRequest) (*run, *enginewire.Error) {
	prompt, err := promptBytes(req)
	switch {
	case err != nil:
		return nil, notRun(enginewire.ErrBadRequest, err.Error())
	case req.Run == "" || len(prompt) == 0 || req.MaxTokens < 0:
		return nil, notRun(enginewire.ErrBadRequest, "run and prompt are required, and max_tokens must not be negative")
	}
	r := &run{
		id:           req.Run,
		from:         origin{req.Model, req.Version, req.Adapter, req.CacheSalt},
		priority:     req.Priority,
		hash:         outputHash(prompt),
		seed:         req.Seed,
		firstWord:    len(req.Continue) / tokenBytes,
		promptTokens: countTokens(len(prompt) + len(req.Continue)),
		maxTokens:    req.MaxTokens,
		finish:       "length",
	}
	if r.maxTokens == 0 {
		r.maxTokens = max(DefaultOutputTokens-r.firstWord, 1)
		r.finish = "stop"
	}
	if r.promptTokens+r.maxTokens > e.cfg.MaxContext {
		return nil, notRun(enginewire.ErrTooLong, "prompt and output exceed the maximum context")
	}
	if req.DeadlineMS > 0 {
		r.deadline = time.Now().Add(time.Duration(req.DeadlineMS) * time.Millisecond)
	}
	r.chain = newChain(req, e.cfg.BlockTokens)
	r.chain.write(prompt)
	r.chain.write([]byte(req.Continue))
	return r, nil
}

func (r *run) word(i int) string { return word(r.hash, r.seed, r.firstWord+i) }

func (r *run) is(p phase) bool { return phase(r.phase.Load()) == p }

// wake wakes the attached stream, if any, so that it sends new frames.
func (r *run) wake() {
	if r.reader == nil {
		return
	}
	select {
	case r.reader <- struct{}{}:
	default:
	}
}

// begin starts a run: it pins the cached prefix of its prompt. The last prompt token is always
// computed.
func (e *Engine) begin(r *run) {
	full := min(len(r.chain.ids), (r.promptTokens-1)/e.cfg.BlockTokens)
	r.cached = e.cache.match(r.chain.ids[:full])
	r.pinned = r.cached
	e.cache.pin(r.chain.ids[:r.cached], 1)
	e.cache.touch(r.chain.ids[:r.cached])
	r.prefillLeft = r.promptTokens - r.cached*e.cfg.BlockTokens
	r.started = true
	r.phase.Store(int32(phaseRunning))
	r.wake()
}

// cachePrompt adds the blocks of the prompt to the cache after prefill.
func (e *Engine) cachePrompt(r *run) {
	stored := e.cache.insert(r.chain.ids, r.from)
	e.cache.pin(r.chain.ids[r.pinned:stored], 1)
	r.pinned = stored
}

// complete ends a run that has produced all its tokens, and caches its output.
func (e *Engine) complete(r *run) {
	output := make([]byte, 0, r.maxTokens*tokenBytes)
	for i := range r.maxTokens {
		output = append(output, r.word(i)...)
	}
	r.chain.write(output)
	stored := e.cache.insert(r.chain.ids, r.from)
	for i, id := range r.chain.ids[:stored] {
		r.blocks = append(r.blocks, enginewire.Block{
			ID:       id.String(),
			EndToken: (i + 1) * e.cfg.BlockTokens,
			Bytes:    e.cfg.blockBytes(),
		})
	}
	e.end(r, nil)
}

// end ends a run in any phase and releases its blocks.
func (e *Engine) end(r *run, err *enginewire.Error) {
	if r.is(phaseEnded) {
		return
	}
	r.err = err
	e.cache.pin(r.chain.ids[:r.pinned], -1)
	r.pinned = 0
	r.phase.Store(int32(phaseEnded))
	r.wake()
	e.scheduleExpiry(r)
	e.dropUnloaded(r.from.key())
}

// runNow executes a run without waiting, for a TimeScale of 0.
func (e *Engine) runNow(r *run) {
	e.begin(r)
	r.prefillLeft = 0
	r.produced.Store(int32(r.maxTokens))
	e.complete(r)
}
