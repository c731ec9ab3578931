// Package forward takes callers' requests to endpoints and their answers back.
//
// Guarantees:
//
//   - A request that is not repeatable is sent again only after proof that it did
//     not run.
//   - A refusal that promises "not run" (429, 503, 408, 421) is only made where no
//     endpoint can have run the request and none will.
//   - A caller gets an endpoint's whole answer to its own request, or an error, or
//     a connection that visibly breaks off.
//   - A key is accepted only if the configuration that holds it was current less
//     than the revocation bound ago, unless the operators accept stale keys.
//   - A request that is given up on is answered at once.
//   - A request under which endpoints end again and again is sent to no more of them.
package forward

import (
	"net/http"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/routing"
)

// Part is a part of a prompt, shared by all requests that name it in the same
// place.
type Part struct {
	ID     string
	Tokens int
}

// Attributes are what a caller says of its request in headers.
type Attributes struct {
	ID          string // of this send of the request
	Key         string // of the client account; empty without one
	Deadline    time.Duration
	HasDeadline bool
	// ResumeAfter is the id of the last event of a stream that the caller has.
	ResumeAfter string

	Model        string
	PromptTokens int
	OutputTokens int // at most
	Parts        []Part
}

// Attempt is what one send to an endpoint says in headers.
type Attempt struct {
	Instance    string        // the only endpoint that may take it
	Remaining   time.Duration // until the caller's deadline
	Account     string
	ResumeAfter string
	Version     int64 // of the weights; 0 for any
	Salt        string
	Priority    *int
	// Sources and Targets hold an address for each part, empty for none: where
	// its KV cache is fetched from, and where it is stored.
	Sources, Targets []string
	// FetchUntil is the time, on the engines' clock in ms, after which a fetch is
	// thrown away; 0 for no bound.
	FetchUntil int64
}

// AnswerInfo is what an endpoint says of its answer in headers.
type AnswerInfo struct {
	ID      string // of the request that it belongs to; empty if not said
	NotRun  bool   // the endpoint did not run the request
	Sealed  bool   // signed by an endpoint
	Events  bool   // a stream of events follows
	Version int64  // of the weights; 0 if not said
	// Instance is the endpoint that answered; empty if not said.
	Instance string
	// Limited is true where the endpoint names the number of requests in a second that it takes from all
	// nodes together, Limit.
	Limited bool
	Limit   float64
	// LimitUnread is true where it names one that could not be read.
	LimitUnread bool
	// Draining is true where the endpoint says that it drains.
	Draining bool
	// RetryAfter is the time for which the endpoint, where it refuses the request, wants none of this node;
	// 0 if not said.
	RetryAfter time.Duration
	// Unreadable are headers on the endpoint itself that could not be read, as NAME: VALUE. They count
	// as missing.
	Unreadable []string
}

// Dialect speaks the headers of the platform.
type Dialect interface {
	// ReadRequest decodes a caller's headers.
	ReadRequest(h http.Header) Attributes
	// StripRequest removes the headers that only this system may set.
	StripRequest(h http.Header)
	// SetAttempt adds the headers of one send.
	SetAttempt(h http.Header, a *Attempt)
	// ReadAnswer decodes an answer's headers.
	ReadAnswer(h http.Header) AnswerInfo
	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter(h http.Header, d time.Duration)
}

// State is the configuration in force.
type State interface {
	// Config returns the configuration, or nil, and how long ago it was certainly
	// current.
	Config() (config *routing.Config, age time.Duration)
}

// Query is what a placement is chosen for.
type Query struct {
	Route      *routing.Route
	Service    *routing.Service
	Account    *routing.Account // nil on public routes
	Attributes *Attributes
	Tried      []string // ids of endpoints that had the request already
	// Age is how long ago the caller first tried, as far as its deadline tells.
	Age time.Duration
}

// returnedShare is the part of the objective after which a caller's try is taken for a later
// one. Callers give some ms less than their whole time, which connecting took.
const returnedShare = 0.05

// Returned reports whether the caller was refused before, as far as its deadline tells.
func (q *Query) Returned() bool {
	return q.Age > time.Duration(returnedShare*float64(q.Route.Objective))
}

// Placement is a chosen endpoint and how the request is to be sent to it.
type Placement struct {
	Member *fleet.Member
	// Attempt is filled in but for Remaining and ResumeAfter.
	Attempt Attempt
	// Reading is the number of prompt tokens that the endpoint is expected to read;
	// Cached and Fetched those that it has or gets from elsewhere.
	Reading, Cached, Fetched int
	// Holding is the number of tokens that the request is expected to hold in the
	// endpoint's memory.
	Holding int
	// BeginBy is when the endpoint must have begun, as its weights were replaced: an attempt
	// without a first event by then is withdrawn. Zero means no such limit.
	BeginBy time.Time
	// Wait, First and Held are what decided, as far as the node knew: the predicted time
	// until the endpoint has time and room, that until the first event, and the tokens that
	// running requests held there.
	Wait, First time.Duration
	Held        int
	// Waited is how long the request was here when it was placed.
	Waited time.Duration
	// Refuse is called once where no endpoint takes the request now and it is refused. It
	// returns when the caller may come back; 0 where that can't be predicted.
	Refuse func() time.Duration
	// RetryAfter is what Refuse returned.
	RetryAfter time.Duration
	// Reason says in a few words what decided.
	Reason string
	// Began, if not nil, is told how long after the send the first event came.
	Began func(after time.Duration)
	// Failed, if not nil, is called where the attempt ended before its first event, without
	// an answer of the endpoint's own: what it was to save is hardly on its way.
	Failed func()
	// Ended, if not nil, is told how long the endpoint took for the whole answer.
	Ended func(took time.Duration)
}

// Quarantine knows the requests under which endpoints end.
type Quarantine interface {
	// Empty reports whether nothing is known of any request.
	Empty() bool
	// HeldUntil returns until when a request must not be sent; zero if it may be.
	HeldUntil(f quarantine.Fingerprint) time.Time
	// Note notes that an endpoint ended under a request, and reports whether it is held from now on.
	Note(e quarantine.Ending) (held bool)
	// Clear notes that an endpoint ran a request to a good end, and reports whether anything was
	// known of it.
	Clear(f quarantine.Fingerprint) (known bool)
}

// Fleet holds the endpoints.
type Fleet interface {
	// Drain notes that an endpoint told that it drains, and reports whether that is news. It gets nothing
	// more.
	Drain(m *fleet.Member, now time.Time) (news bool)
}

// Placer chooses endpoints.
type Placer interface {
	// Place returns a placement, or false where no endpoint takes the request now. Then
	// only Reason, Wait and Refuse are set, where anything is known.
	Place(q *Query) (Placement, bool)
}
