package enginestate

import (
	"errors"
	"time"

	"github.com/cherryward/cherryward/coord/fairqueue"
	"github.com/cherryward/cherryward/internal/enginemodel"
)

// Admission bounds. See docs/design/policy.md for the figures.
const (
	// prefillWindow is how much granted prefill may be outstanding at the
	// engine when the next run is granted. It covers the way from the owner
	// over the entry node to the engine, and no more: what waits in the owner's
	// queue can still be reordered, what waits in the engine cannot.
	prefillWindow = 50 * time.Millisecond
	// requestCost is the engine time that a request costs beyond its prefill.
	requestCost = 20 * time.Millisecond
	// grantGrace is how long a grant outlives its deadline without a Release.
	grantGrace = 30 * time.Second
	// grantLife ends a grant without a deadline that is never released.
	grantLife = 15 * time.Minute
)

// ErrDuplicate means that the run is already queued or granted. The first
// request stands.
var ErrDuplicate = errors.New("enginestate: run is already queued or granted")

// Config describes an engine and its queue.
type Config struct {
	Classes     []fairqueue.Class
	MaxQueue    int     // requests queued at most
	MaxRunning  int     // runs that the engine batches at once
	PrefillRate float64 // assumed until learned, prompt tokens per second
}

// Request asks for a grant of one run.
type Request struct {
	Run     string // unique
	Model   string
	Account fairqueue.Account
	Node    string // entry node that asks
	// PromptTokens is the length of the prompt, of which CachedTokens are
	// believed to be in the engine's memory and ImportTokens are being
	// imported: the request waits for ImportDone.
	PromptTokens int
	CachedTokens int
	ImportTokens int
	// ImportPatience is how long the import may take from now until computing
	// the tokens would have been better.
	ImportPatience time.Duration
	Deadline       time.Time // the caller's; zero means none
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
	Started   bool // the first token was seen
}

// RefusedError tells that the engine takes no such request at present. It did
// not run; a retry after RetryAfter is safe.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "enginestate: " + e.Reason + ", retry after " + e.RetryAfter.String()
}

var _ error = (*RefusedError)(nil)

// Engine is the owner's state of one engine. See the package comment.
type Engine struct {
	cfg      Config
	queue    *fairqueue.Queue[*pending]
	waiting  map[string]*pending // queued or parked, by run
	parked   []*pending          // had their turn, wait for an import
	ready    []*pending          // had their turn, import done
	grants   map[string]*Grant
	prefills []*Grant // granted, first token not seen, in order of grant
	// lastFirst is when the engine last finished a prefill.
	lastFirst time.Time
	ended     []time.Time // recent releases, for load reports
	foreign   foreign
	speeds    map[string]*speed  // by model
	life      enginemodel.Median // seconds from grant to release
	health    health
	leaving   bool
}

// New returns the state of an engine about which nothing is known yet.
func New(now time.Time, cfg Config) *Engine {
	return &Engine{
		cfg: cfg,
		queue: fairqueue.New[*pending](now, fairqueue.Config{
			Classes: cfg.Classes, MaxLen: cfg.MaxQueue, Rate: engineSeconds,
		}),
		waiting: make(map[string]*pending),
		grants:  make(map[string]*Grant),
		speeds:  make(map[string]*speed),
		life:    enginemodel.NewMedian(defaultLife.Seconds()),
	}
}

// engineSeconds is the rate at which an engine serves its queue, whose costs
// are in seconds of engine time.
const engineSeconds = 1

// SetLeaving takes the engine out of service or back. While it is leaving, it
// refuses requests and Tick displaces those that wait; granted runs go on.
func (e *Engine) SetLeaving(leaving bool) { e.leaving = leaving }

// SetMaxRunning takes over the engine's own word on how many runs it batches.
func (e *Engine) SetMaxRunning(n int) { e.cfg.MaxRunning = n }
