// Package runs runs prompts on engines: it selects an engine, starts the run, passes on the checked
// tokens, and continues when a connection or an engine fails.
//
// Guarantee: a sink gets each token of one answer once and in order, all on the same weight
// version. Run returns without an error only after a complete answer; the run state of its error
// states whether the request may have run.
package runs

import (
	"context"
	"time"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/kvcache"
)

// Class is a request's priority class. A lower class has priority over a higher one.
type Class int

// The priority classes.
const (
	ClassInteractive Class = iota
	ClassStandard
	ClassBatch
	Classes // number of classes
)

// Request is one prompt to answer.
type Request struct {
	ID          string  // for logs
	Account     string  // account id, which is never reused for another account
	Weight      float64 // the account's share of a contended engine; 0 means 1
	Model       string
	Version     string // weight version that serves the whole answer
	Adapter     string
	Prompt      string
	PromptIDs   []int // used in place of Prompt if not nil
	MaxTokens   int
	Temperature float64
	Seed        int64
	Class       Class
	Deadline    time.Time
	// RunsOn makes an answer that has been placed on an engine continue past the deadline, until
	// its context ends.
	RunsOn bool
	// Resumable states that the caller can resume a broken stream.
	Resumable bool
	// Once forbids starting the request again after an attempt that may have run.
	Once bool
	// Chain identifies the prompt's prefixes, to look up cached context.
	Chain kvcache.Chain
}

// Start describes a run that an engine has begun.
type Start struct {
	Run          string
	Endpoint     string
	Model        string // as stated by the engine; empty if it does not state it
	Adapter      string
	PromptTokens int
	CachedTokens int
}

// Sink receives an answer. An error of any method ends the run.
type Sink interface {
	// Started is called once for each engine run that contributes to the answer.
	Started(Start) error
	// Tokens receives the next piece of text. offset is the number of answer tokens up to its end.
	Tokens(run string, offset int, text string) error
}

// Summary describes a complete answer.
type Summary struct {
	Start
	OutputTokens   int
	Finish         string
	Engines        int           // number of engine runs
	Queued         time.Duration // time until the first engine was granted
	FirstToken     time.Duration // time until the first token
	ImportedTokens int
	ImportedBytes  int64
}

// RunReport holds the observations of one run that are reported to its Grant.
type RunReport struct {
	Started      bool
	Complete     bool
	Incarnation  string // of the engine
	PromptTokens int
	CachedTokens int
	OutputTokens int
	FirstToken   time.Duration // from the start of the run to its first token
	Total        time.Duration
	Blocks       []enginewire.Block
	Err          error
}

// Grant is the right to start one run on an endpoint.
type Grant interface {
	Endpoint() *pb.Endpoint
	// ImportedContext returns the amount of cached context that was imported for the run.
	ImportedContext() (tokens int, bytes int64)
	// FirstFrameTimeout is the longest time to wait for the engine's first frame.
	FirstFrameTimeout() time.Duration
	// FirstToken records that the engine has sent its first token.
	FirstToken(RunReport)
	// Done releases the grant and reports what was observed.
	Done(RunReport)
}

// Placer selects an engine for a request and waits for its grant. Endpoints in tried have failed
// this request and are used only if there are no others.
type Placer interface {
	Place(ctx context.Context, req *Request, tried []string) (Grant, error)
}

// Budget limits retries, so that failures do not multiply the load.
type Budget interface {
	// Succeeded records a first attempt's success.
	Succeeded()
	// Retry reports whether one more attempt may be made now.
	Retry() bool
}

// Engines is the part of the engine protocol that this package uses.
type Engines interface {
	Start(ctx context.Context, base string, req *enginewire.RunRequest) (*engine.Stream, error)
	Resume(ctx context.Context, base, run string, offset int) (*engine.Stream, error)
	Cancel(ctx context.Context, base, run string) error
}

// Directory provides the latest configuration.
type Directory interface {
	View() *config.View
}

var _ Engines = (*engine.Client)(nil)
