// Package engine is a stand-in for a model engine with the protocol of enginewire. It implements
// continuous batching and prefix caching, and streams deterministic words.
//
// The output of a run depends only on its prompt and seed, so all engines return the same output,
// and a continued run has the same words as the uninterrupted one. Each run id runs at most once
// per incarnation.
package engine

import (
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/standin/fault"
)

// maxRetainedRuns limits the ended runs that are retained for resuming.
const maxRetainedRuns = 20000

// Engine is one engine process. It is safe for concurrent use.
type Engine struct {
	// Faults holds the active faults.
	Faults fault.Switch[Faults]

	cfg    Config
	link   *link
	closed chan struct{}
	once   sync.Once

	mu sync.Mutex
	*incarnation
	loopRunning   bool
	startRequests int // requests to start a run, in all incarnations
	wrongBlocks   int // imports that received the bytes of another block
}

// incarnation is the state that is lost by a restart. It is guarded by the engine's lock.
type incarnation struct {
	name       string
	terminated chan struct{} // closed when the incarnation ends
	role       string
	highToken  int64
	loaded     []*loadedModel
	cache      *cache
	events     *events
	runs       map[string]*run
	waiting    []*run // by priority, then arrival
	batch      []*run
	arrivals   uint64
	expiries   []expiry
	report     enginewire.Load
	reported   time.Time
}

// expiry is the time at which a run expires unless a stream is attached to it.
type expiry struct {
	run *run
	at  time.Time
}

// New starts an engine. Close must be called to release its resources.
func New(cfg Config) *Engine {
	cfg.setDefaults()
	e := &Engine{cfg: cfg, link: newLink(cfg.LinkBytesPerSecond, cfg.TimeScale), closed: make(chan struct{})}
	e.incarnation = e.newIncarnation()
	if cfg.LoadLag > 0 {
		go e.reportLoad()
	}
	return e
}

func (e *Engine) newIncarnation() *incarnation {
	in := &incarnation{
		name:       rand.Text(),
		terminated: make(chan struct{}),
		role:       roleServing,
		events:     newEvents(e.cfg.EventDelay),
		runs:       make(map[string]*run),
	}
	in.cache = newCache(e.cfg.CacheBlocks, func(id blockID, removed bool) {
		in.events.add(id, removed, e.Faults.Get().DropEventEvery)
	})
	for _, l := range e.cfg.Loaded {
		in.loaded = append(in.loaded, newLoadedModel(modelKey{l.Model, l.Version, l.Adapter}, false))
	}
	in.report = enginewire.Load{Incarnation: in.name}
	in.reported = time.Now()
	return in
}

// Restart simulates a restart of the process: it starts a new incarnation with an empty cache. All
// runs, streams and orders are lost.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endIncarnation()
	e.incarnation = e.newIncarnation()
}

func (e *Engine) endIncarnation() {
	select {
	case <-e.terminated:
	default:
		close(e.terminated)
	}
}

// Incarnation returns the id of the current incarnation.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.name
}

// Close drops all streams and stops the engine's goroutines.
func (e *Engine) Close() {
	e.once.Do(func() { close(e.closed) })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endIncarnation()
}

// Handler returns a handler for the protocol of enginewire and, at fault.Path, the faults.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginewire.PathRuns, e.serveStart)
	mux.HandleFunc("GET "+enginewire.PathRun+"{id}", e.serveResume)
	mux.HandleFunc("DELETE "+enginewire.PathRun+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+enginewire.PathEvents, e.serveEvents)
	mux.HandleFunc("GET "+enginewire.PathState, e.serveState)
	mux.HandleFunc("GET "+enginewire.PathLoad, e.serveLoad)
	mux.HandleFunc("POST "+enginewire.PathOrders, e.serveOrder)
	mux.HandleFunc("POST "+enginewire.PathExport, e.serveTransfer(e.exportBlock))
	mux.HandleFunc("POST "+enginewire.PathImport, e.serveTransfer(e.importBlock))
	return e.Faults.Gate(mux, fault.ActionOf("restart", e.Restart))
}

// notRun returns an error for a request that did not run.
func notRun(code enginewire.ErrorCode, message string) *enginewire.Error {
	return &enginewire.Error{Code: code, Message: message, NotRun: true}
}

// statuses maps error codes to HTTP statuses.
var statuses = map[enginewire.ErrorCode]int{
	enginewire.ErrNotLoaded:  http.StatusConflict,
	enginewire.ErrOverloaded: http.StatusTooManyRequests,
	enginewire.ErrLeaving:    http.StatusServiceUnavailable,
	enginewire.ErrRunExists:  http.StatusConflict,
	enginewire.ErrRunUnknown: http.StatusNotFound,
	enginewire.ErrStaleToken: http.StatusConflict,
	enginewire.ErrBadRequest: http.StatusBadRequest,
	enginewire.ErrInternal:   http.StatusInternalServerError,
	enginewire.ErrTooLong:    http.StatusBadRequest,
	enginewire.ErrCancelled:  http.StatusConflict,
}

func writeError(w http.ResponseWriter, err *enginewire.Error) {
	fault.WriteJSON(w, statuses[err.Code], err)
}
