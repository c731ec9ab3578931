// Package routing holds the operators' configuration of a gateway: which route
// a request takes, which services it may reach, and whose key it carries.
//
// Guarantee: a Config is never changed once it is made, so that a request is
// handled by one version from beginning to end. All look-ups are pure.
package routing

import "time"

// Kind says what may be repeated.
type Kind int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events. They run at most once,
	// unless their route is Resumable.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	table *table // built by Index
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name      string
	Host      string // without a port, lower case
	Prefix    string // begins and ends with a slash
	Upstreams []Upstream
	Kind      Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event,
	// is on time.
	Objective time.Duration
	// GapObjective is the longest pause between a stream's events that is on time.
	GapObjective time.Duration
	// MaxAttempts is the largest number of endpoints that may run one request.
	MaxAttempts int
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Prompts is true where requests describe a prompt by its parts.
	Prompts bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// Upstream is one of the services of a route, with its share of requests.
type Upstream struct {
	Service string
	Weight  float64
}

// Service is a group of equal endpoints, or one store of KV cache.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int // connections to one endpoint, from all nodes together
	// ColdStart is how long an endpoint is cold after it started, and ColdPerSecond the requests in
	// a second that a cold one stands, from all nodes together; 0 where it stands any number.
	ColdStart     time.Duration
	ColdPerSecond float64
	Engine        *Engine
	Store         *Store
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int // requests in a batch
	KVTokens   int // tokens that one engine's memory holds
	TokenBytes int // bytes of KV cache for a token
	LinkMbps   float64
	// EventReaders is the number of questions for events that one engine lets wait
	// at once; 0 if not stated.
	EventReaders int
	Models       []string
}

// Store describes a store of KV cache.
type Store struct {
	Addr       string // IP:PORT
	Domain     string // failure domain
	KVTokens   int
	LinkMbps   float64
	FirstDelay time.Duration // added to each transfer
	Managed    bool          // drops nothing by itself
	// EventReaders is the number of questions for events that it lets wait at once;
	// 0 if not stated.
	EventReaders int
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int // goes before the route's, if set
	Isolated bool // shares no KV cache with other accounts
}

// Limits bound what a caller may send and how long it may take. Zero means
// no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
