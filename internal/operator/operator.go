package operator

import (
	"context"
	"crypto/sha256"
	"iter"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config"
)

const (
	// maxRequestBytes bounds a request, which holds one object and its metadata.
	maxRequestBytes = 128 << 10
	// maxResponseBytes bounds a response; a list of 12,000 endpoints is under 8 MiB.
	maxResponseBytes = 32 << 20
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
	// maxWatchers bounds the watch streams of one node.
	maxWatchers = 64
	// headerTimeout is the maximum time for receiving the headers of a request.
	headerTimeout = 5 * time.Second
	// rejectedBodyTimeout is the maximum time for receiving the body of a rejected
	// call, which the HTTP library reads before it responds.
	rejectedBodyTimeout = time.Second
	// idleTimeout is the time after which a connection without calls is closed.
	idleTimeout = 2 * time.Minute
	// sendTimeout is the maximum time for one send to a watcher; a watcher that does
	// not read is then disconnected.
	sendTimeout = 10 * time.Second
	// proposeTimeout bounds a write; the outcome of one that exceeds it is unknown.
	proposeTimeout = 10 * time.Second
	// maxWait bounds the wait until all live nodes have applied a change, which is
	// expected to take less than 6 s.
	maxWait = 20 * time.Second
	// waitPollInterval is the time between two reads of the nodes' applied offsets.
	waitPollInterval = 20 * time.Millisecond
	// stopTimeout bounds the wait for open calls at shutdown. It exceeds
	// proposeTimeout, so that a write in flight can complete.
	stopTimeout = proposeTimeout + 2*time.Second
)

// Configuration is this node's copy of the configuration.
type Configuration interface {
	View() *config.View
	Wait(ctx context.Context, applied int64) error
	Watch(ctx context.Context, after int64) iter.Seq2[config.Entry, error]
}

var _ Configuration = (*config.Store)(nil)

// NodeApplied is the configuration offset that one node has applied.
type NodeApplied struct {
	ID      string
	Applied int64
	// Live is false for a node that is dead or has left; a write does not wait
	// for it.
	Live bool
}

// Nodes provides the applied configuration offsets of the nodes.
type Nodes interface {
	// Applied returns an entry for every member, including dead ones. It is polled
	// during a wait, so it must be cheap.
	Applied(ctx context.Context) ([]NodeApplied, error)
}

// StatusReporter provides the state of the system and of recent requests.
type StatusReporter interface {
	// Status returns this node's view of the nodes and endpoints.
	Status(ctx context.Context) (*pb.StatusResponse, error)
	// Explain returns why an endpoint was selected for a recent request. It fails
	// with UnknownRequest if this node has no record of the request.
	Explain(ctx context.Context, requestID string) (*pb.ExplainRequestResponse, error)
}

// Options configures a Server; all fields are required.
type Options struct {
	// CredentialHash is the SHA-256 hash of the operators' bearer credential.
	CredentialHash [sha256.Size]byte
	Configuration  Configuration
	Proposer       config.Proposer
	Nodes          Nodes
	Reporter       StatusReporter
	Log            zerolog.Logger
}
