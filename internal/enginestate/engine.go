package enginestate

import (
	"errors"
	"time"

	"github.com/cherryward/cherryward/coord/fairqueue"
	"github.com/cherryward/cherryward/internal/enginemodel"
)

// Admission limits. See docs/design/policy.md for the values.
const (
	// prefillWindow is the maximum granted prefill time outstanding at the engine when the next run
	// is granted. It covers the latency from the owner through the entry node to the engine, and no
	// more: requests in the owner's queue can still be reordered, those in the engine's queue
	// cannot.
	prefillWindow = 50 * time.Millisecond
	// requestCost is the engine time that a request takes in addition to its prefill.
	requestCost = 20 * time.Millisecond
	// grantGrace is how long after its deadline a grant expires if it is not released.
	grantGrace = 30 * time.Second
	// maxGrantAge is the age at which a grant without a deadline expires if it is not released.
	maxGrantAge = 15 * time.Minute
)

// ErrDuplicate means that the run is already queued or granted. The first request remains valid.
var ErrDuplicate = errors.New("enginestate: run is already queued or granted")

// Config describes an engine and its queue.
type Config struct {
	Classes     []fairqueue.Class
	MaxQueue    int     // maximum number of queued requests
	MaxRunning  int     // maximum number of runs in the engine's batch
	PrefillRate float64 // prior until a rate is learned, prompt tokens per second
}

// Request is a request for a grant of one run.
type Request struct {
	Run     string // unique
	Model   string
	Account fairqueue.Account
	Node    string // entry node that sent the request
	// PromptTokens is the length of the prompt. CachedTokens of it are expected in the engine's
	// memory, and ImportTokens are being imported: the request waits for ImportDone.
	PromptTokens int
	CachedTokens int
	ImportTokens int
	// ImportPatience is the timeout of the import, from now: the duration at which recomputing the
	// tokens would have cost less.
	ImportPatience time.Duration
	Deadline       time.Time // the caller's; zero for none
}

// Grant is the permission to start one run at the engine now.
type Grant struct {
	Run       string
	Model     string
	Account   fairqueue.Account
	Node      string
	Prompt    int // tokens
	Compute   int // prompt tokens that the engine is expected to compute
	GrantedAt time.Time
	Deadline  time.Time
	Started   bool // the first token was reported
}

// RefusedError means that the engine does not accept the request at present. The request did not
// run; a retry after RetryAfter is safe.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "enginestate: " + e.Reason + ", retry after " + e.RetryAfter.String()
}

var _ error = (*RefusedError)(nil)

// Engine is the owner's state of one engine. See the package documentation.
type Engine struct {
	cfg      Config
	queue    *fairqueue.Queue[*pending]
	waiting  map[string]*pending // queued or parked, by run
	parked   []*pending          // removed from the queue, waiting for an import
	ready    []*pending          // removed from the queue, import finished
	grants   map[string]*Grant
	prefills []*Grant // granted, first token not reported yet, in order of grant
	// lastPrefillEnd is when the engine last finished a prefill.
	lastPrefillEnd time.Time
	releasedAt     []time.Time // times of recent releases, to compare with load reports
	foreign        foreign
	speeds         map[string]*speed  // by model
	runTime        enginemodel.Median // seconds from grant to release
	health         health
	leaving        bool
}

// New returns the state of an engine without known runs or learned speeds.
func New(now time.Time, cfg Config) *Engine {
	return &Engine{
		cfg: cfg,
		queue: fairqueue.New[*pending](now, fairqueue.Config{
			Classes: cfg.Classes, MaxLen: cfg.MaxQueue, Rate: engineSeconds,
		}),
		waiting: make(map[string]*pending),
		grants:  make(map[string]*Grant),
		speeds:  make(map[string]*speed),
		runTime: enginemodel.NewMedian(defaultRunTime.Seconds()),
	}
}

// engineSeconds is the service rate of the queue, whose costs are in seconds of engine time.
const engineSeconds = 1

// SetLeaving sets whether the engine is leaving, which takes it out of rotation. A leaving engine
// refuses requests, and Tick displaces queued ones; granted runs continue.
func (e *Engine) SetLeaving(leaving bool) { e.leaving = leaving }

// SetMaxRunning sets the maximum number of runs in a batch as reported by the engine.
func (e *Engine) SetMaxRunning(n int) { e.cfg.MaxRunning = n }
