// Package runs carries a prompt through: it finds an engine, starts the run,
// hands on the checked tokens, and goes on when a connection or an engine fails.
//
// Guarantee: a sink gets each token of one answer once and in order, all on the
// weight version that the request began with. Run returns without an error only
// after a complete answer; its error's run state tells what may have happened.
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

// Class is a request's priority class. A lower class goes first.
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
	ID          string  // for logs and explanations
	Account     string  // by its id, which no other account ever has
	Weight      float64 // the account's share of a contended engine; 0 means 1
	Model       string
	Version     string // weight version that serves all of the answer
	Adapter     string
	Prompt      string
	PromptIDs   []int // in place of Prompt where not nil
	MaxTokens   int
	Temperature float64
	Seed        int64
	Class       Class
	Deadline    time.Time
	// RunsOn is set where an answer that has an engine goes on past the deadline,
	// until its context ends.
	RunsOn bool
	// Resumable is set where the caller can resume a broken stream.
	Resumable bool
	// Once forbids a second start after one that may have run.
	Once bool
	// Chain fingerprints the prompt for the look-up of kept context.
	Chain kvcache.Chain
}

// Start is what is known when the engine has begun a run.
type Start struct {
	Run          string
	Endpoint     string
	Model        string // as the engine echoes it; empty from engines that don't
	Adapter      string
	PromptTokens int
	CachedTokens int
}

// Sink takes the answer. An error of a method ends the run.
type Sink interface {
	// Started is called once for each engine run that serves the answer.
	Started(Start) error
	// Tokens takes the next piece. Offset counts the answer's tokens after it.
	Tokens(run string, offset int, text string) error
}

// Summary is the outcome of a complete answer.
type Summary struct {
	Start
	OutputTokens   int
	Finish         string
	Engines        int           // engine runs that it took
	Queued         time.Duration // until the first engine was granted
	FirstToken     time.Duration
	ImportedTokens int
	ImportedBytes  int64
}

// Observed is what a grant's holder saw of the run, for the endpoint's owner.
type Observed struct {
	Started      bool
	Complete     bool
	Incarnation  string // of the engine
	PromptTokens int
	CachedTokens int
	OutputTokens int
	FirstToken   time.Duration // from start of the run to its first token
	Total        time.Duration
	Blocks       []enginewire.Block
	Err          error
}

// Grant is the right to start one run on an endpoint.
type Grant interface {
	Endpoint() *pb.Endpoint
	// Imported tells what was imported for the run.
	Imported() (tokens int, bytes int64)
	// Patience is how long the engine may take until its first frame.
	Patience() time.Duration
	// FirstToken tells that the engine has begun to answer.
	FirstToken(Observed)
	// Done gives the grant back.
	Done(Observed)
}

// Placer finds an engine for a request and waits for its grant. Endpoints in
// tried have failed this request and are avoided where there are others.
type Placer interface {
	Place(ctx context.Context, req *Request, tried []string) (Grant, error)
}

// Budget decides on retries, so that failures do not multiply load.
type Budget interface {
	// Succeeded records a first attempt's success.
	Succeeded()
	// Retry reports whether one more attempt may be made now.
	Retry() bool
}

// Engines is what a run needs of the engines' protocol.
type Engines interface {
	Start(ctx context.Context, base string, req *enginewire.RunRequest) (*engine.Stream, error)
	Resume(ctx context.Context, base, run string, offset int) (*engine.Stream, error)
	Cancel(ctx context.Context, base, run string) error
}

// Directory gives the newest configuration.
type Directory interface {
	View() *config.View
}

var _ Engines = (*engine.Client)(nil)
