// Package routing holds the operators' configuration of a gateway: how requests are matched to
// routes, which services they may use, and which client accounts hold which keys.
//
// A Config is immutable once indexed, so that each request is handled by one version of the
// configuration from beginning to end. All lookups are pure.
package routing

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/residency"
)

// Kind states whether the requests of a route may run more than once, and whether the response is a
// stream.
type Kind int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with a stream of events. They run at most once, unless their
	// route is Resumable.
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

	// table and sharingKey are built by Index.
	table      *table
	sharingKey string
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name      string
	Host      string // without a port, lower case
	Prefix    string // begins and ends with a slash
	Upstreams []Upstream
	Kind      Kind
	// Timeout is the maximum time until the final response.
	Timeout time.Duration
	// Objective is the time within which a response, or a stream's first event, counts as on time.
	Objective time.Duration
	// GapObjective is the longest pause between a stream's events that counts as on time.
	GapObjective time.Duration
	// MaxAttempts is the maximum number of endpoints that may run one request.
	MaxAttempts int
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Public is true if requests need no key.
	Public bool
	// DescribesPrompts is true if requests describe a prompt by its parts.
	DescribesPrompts bool
	// Resumable is true if a stream may be continued at another endpoint.
	Resumable bool
	// Residency is the policy for the route's requests; see also Account.
	Residency residency.Policy
	// MovedAt is when this node last learned that requests of the route's paths are sent to other services than
	// before; zero if it never did. It is set by Config.InheritMoves.
	MovedAt time.Time
}

// Repeatable reports whether a request can be sent again after an attempt that may have run.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// Upstream is one of the services of a route, with its weight.
type Upstream struct {
	Service string
	Weight  float64
}

// Service is a group of equivalent endpoints, or one store of KV cache.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int // connections to one endpoint, from all nodes together
	// ColdStart is how long an endpoint is cold after its start. MaxColdPerSecond is the maximum
	// number of requests per second that a cold endpoint gets from all nodes together; 0 for no
	// limit.
	ColdStart        time.Duration
	MaxColdPerSecond float64
	Engine           *Engine
	Store            *Store
	// GapObjective is the smallest GapObjective of the routes that use the service; 0 if none states
	// one. It is set by Config.Index.
	GapObjective time.Duration
}

// ObservesPace reports whether the pace of the service's engines matters to its callers and can be
// observed in their streams.
func (s *Service) ObservesPace() bool {
	return s.Engine != nil && s.Engine.Stride > 0 && s.GapObjective > 0
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int // maximum number of requests in a batch
	KVTokens   int // tokens of KV cache that one engine's memory holds
	TokenBytes int // bytes of KV cache per token
	LinkMbps   float64
	// MaxEventPolls is the maximum number of concurrent long-poll requests for events
	// that one engine accepts; 0 if not stated.
	MaxEventPolls int
	// Stride is the number of tokens in one event of a stream; 0 if not stated.
	Stride int
	Models []string
}

// Store describes a store of KV cache.
type Store struct {
	Addr       string // IP:PORT
	Domain     string // failure domain
	KVTokens   int
	LinkMbps   float64
	FirstDelay time.Duration // added to each transfer
	Managed    bool          // evicts nothing by itself
	// MaxEventPolls is the maximum number of concurrent long-poll requests for events
	// that the store accepts; 0 if not stated.
	MaxEventPolls int
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int // takes precedence over the route's, if set
	Isolated bool // shares no KV cache with other accounts
	// Residency is the policy for the account's requests. Where the route has one too, both apply.
	Residency residency.Policy
}

// Residency returns the policy for the requests of an account on a route. account is nil on public
// routes.
func Residency(route *Route, account *Account) residency.Policy {
	if account == nil {
		return route.Residency
	}
	return route.Residency.Intersect(account.Residency)
}

// Residencies returns the policies of all requests that the configuration allows, without those
// that are not confined.
func (c *Config) Residencies() []residency.Policy {
	routes, accounts := []residency.Policy{{}}, []residency.Policy{{}}
	for i := range c.Routes {
		routes = addPolicy(routes, c.Routes[i].Residency)
	}
	for i := range c.Accounts {
		accounts = addPolicy(accounts, c.Accounts[i].Residency)
	}
	var list []residency.Policy
	for _, route := range routes {
		for _, account := range accounts {
			if both := route.Intersect(account); both.Confined() {
				list = addPolicy(list, both)
			}
		}
	}
	return list
}

// addPolicy adds a policy to a list unless it is there already.
func addPolicy(list []residency.Policy, p residency.Policy) []residency.Policy {
	if slices.Contains(list, p) {
		return list
	}
	return append(list, p)
}

// Limits bound the size and duration of callers' requests. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
