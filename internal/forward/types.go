// Package forward forwards callers' requests to endpoints and returns their answers.
//
// Guarantees:
//
//   - A request that is not repeatable is sent again only after proof that it did not run.
//   - A refusal with a status that promises that the request has not run (429, 503, 408, 421) is
//     only sent if no endpoint can have run the request and none will.
//   - A caller gets one endpoint's complete answer to its own request, an error, or a connection
//     that visibly breaks off.
//   - A key is accepted only if the configuration that contains it was current less than the
//     revocation bound ago, unless the operators accept stale keys.
//   - As soon as it is clear that a request will not be sent again, it is answered.
//   - A stream continues only at the release of the endpoints' software that began it, in one answer and when
//     its caller resumes it in another request. If the release is not known, the stream is refused.
//   - A request in quarantine, because endpoints repeatedly ended while running it, is not sent.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/residency"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/routing"
)

// Part is a segment of a prompt. Requests that state the same id at the same place in their prompts
// share it.
type Part struct {
	ID     string
	Tokens int
}

// Attributes are the request attributes that a caller states in headers.
type Attributes struct {
	ID          string // of this try of the caller
	Key         string // of the client account; empty if none is given
	Deadline    time.Duration
	HasDeadline bool
	// ResumeAfter is the id of the last event that the caller has received of a stream; empty if
	// none.
	ResumeAfter string
	// Resumes is the id of the request that brought the first event of the stream that the caller
	// resumes; empty if the caller states none.
	Resumes string
	// ResumesInvalid is true if the caller states several ids there, or one that is too long.
	ResumesInvalid bool
	// Ambiguous is the name of a header that may be given once and has several values; empty if there is none.
	Ambiguous string

	Model        string
	PromptTokens int
	OutputTokens int // maximum
	Parts        []Part
}

// Attempt holds what this node states in headers on one send to an endpoint.
type Attempt struct {
	Instance    string        // the only endpoint that may accept the request
	Remaining   time.Duration // until the caller's deadline
	Account     string
	ResumeAfter string
	Version     int64 // of the weights; 0 for any
	Salt        string
	Priority    *int
	// Sources and Targets hold, for each part, the address from which its KV cache is fetched and the
	// address at which it is stored, or an empty string.
	Sources, Targets []string
	// FetchUntil is the time, in ms on the engines' clock, after which a fetched KV cache is
	// discarded; 0 for no limit.
	FetchUntil int64
}

// AnswerInfo holds what an endpoint states about its answer in headers.
type AnswerInfo struct {
	ID      string // id of the request that is answered; empty if not stated
	NotRun  bool   // the endpoint did not run the request
	Signed  bool   // the answer is signed by an endpoint
	Events  bool   // the body is a stream of events
	Version int64  // of the weights; 0 if not stated
	// Instance is the id of the endpoint that answered; empty if not stated.
	Instance string
	// HasLimit is true if the endpoint states a rate limit: the requests per second that it accepts
	// from all nodes together, in Limit.
	HasLimit bool
	Limit    float64
	// LimitUnreadable is true if the endpoint states a rate limit that could not be decoded.
	LimitUnreadable bool
	// Brittle is true if the endpoint states that it fails if it refuses more than MaxRefusals requests in a
	// second for want of room.
	Brittle     bool
	MaxRefusals int
	// Draining is true if the endpoint states that it is draining.
	Draining bool
	// RetryAfter is the time for which an endpoint that refuses the request is to receive no requests
	// from this node; 0 if not stated.
	RetryAfter time.Duration
	// Unreadable lists the headers about the endpoint that could not be decoded, as NAME: VALUE.
	// They are treated as missing.
	Unreadable []string
}

// Dialect encodes and decodes the platform's headers.
type Dialect interface {
	// ReadRequest decodes a caller's headers.
	ReadRequest(h http.Header) Attributes
	// StripRequest removes the headers that callers must not set, and repetitions of those that may be given once.
	StripRequest(h http.Header)
	// EndToEnd reports whether a header, given by its canonical name, is never one of a single connection, whatever
	// the Connection header lists.
	EndToEnd(name string) bool
	// SetAttempt adds the headers of one attempt.
	SetAttempt(h http.Header, a *Attempt)
	// ReadAnswer decodes an answer's headers.
	ReadAnswer(h http.Header) AnswerInfo
	// SetRetryAfter sets the header that states when a caller may retry.
	SetRetryAfter(h http.Header, d time.Duration)
}

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	// Config returns the configuration, or nil if there is none, and the time since it was last
	// known to be current.
	Config() (config *routing.Config, age time.Duration)
}

// Query is the input to a placement.
type Query struct {
	Route      *routing.Route
	Service    *routing.Service
	Account    *routing.Account // nil on public routes
	Attributes *Attributes
	// Residency is the policy for where the request may be served and its KV cache kept.
	Residency residency.Policy
	// Sharing is the sharing key of the configuration; see routing.Config.SharingKey.
	Sharing string
	Tried   []string // ids of endpoints to which the request was sent already
	// Release is the release of the endpoints' software that began the stream which the request
	// continues. Only endpoints of that release may continue it. Empty means that no event of the
	// stream was delivered yet, and that any release may begin it.
	Release string
	// Age is the time since the caller first tried, estimated from its deadline.
	Age time.Duration
}

// minRetryAgeShare is the part of the objective that a caller's age must exceed for its try to count
// as a retry. On a first try, the stated time is a few ms shorter than the caller's full time,
// because connecting took that long.
const minRetryAgeShare = 0.05

// IsRetry reports whether the caller has been served a part of the answer before, or was refused before, as
// estimated from its deadline.
func (q *Query) IsRetry() bool {
	return q.Release != "" || q.Age > time.Duration(minRetryAgeShare*float64(q.Route.Objective))
}

// Placement is the selected endpoint and how to send the request to it.
type Placement struct {
	Member *fleet.Member
	// Attempt is complete except for Remaining and ResumeAfter.
	Attempt Attempt
	// PrefillTokens is the number of prompt tokens that the endpoint is expected to prefill. Cached is
	// the number that it has in its cache, Fetched the number that it fetches from elsewhere.
	PrefillTokens, Cached, Fetched int
	// MemoryTokens is the number of tokens that the request is expected to occupy in the endpoint's
	// memory.
	MemoryTokens int
	// BeginBy is the time by which the endpoint must have begun, because its weights are being
	// replaced: an attempt without a first event by then is withdrawn. Zero means no limit.
	BeginBy time.Time
	// PredictedWait, PredictedFirstEvent and OccupiedTokens are the node's estimates behind the
	// decision: the predicted time until the endpoint has capacity and memory, the predicted time
	// until the first event, and the tokens occupied by requests running there.
	PredictedWait, PredictedFirstEvent time.Duration
	OccupiedTokens                     int
	// SlotState holds the slots behind the decision.
	SlotState SlotState
	// SlowFactor is how many times slower than usual the endpoint is, 0 if that is not observed, and
	// StallMs the cost of the streams there that the prompt would delay for too long.
	SlowFactor, StallMs float64
	// Waited is the time that the request waited for its placement.
	Waited time.Duration
	// OnRefusal is called once if the request is refused because no endpoint accepts it. It returns
	// the time after which the caller may retry, or 0 if that can't be predicted.
	OnRefusal func() time.Duration
	// RetryAfter is what OnRefusal returned.
	RetryAfter time.Duration
	// RefusalCode is the result code if the request is refused; 0 means result.NoEndpoint.
	RefusalCode result.Code
	// Final is true if waiting does not help a refused caller: it is not told when to retry.
	Final bool
	// Reason is a short name of the reason for the decision.
	Reason string
	// LoadAge is the age of the load reports behind the decision, and Noticed the number of prompts at
	// the endpoint that other nodes announced since.
	LoadAge time.Duration
	Noticed int
	// OnSend, if not nil, is called when the request is sent, after it was counted at the endpoint.
	// It must not block.
	OnSend func()
	// RecordFirstEvent, if not nil, is called with the time from the send to the first event.
	RecordFirstEvent func(after time.Duration)
	// RecordFailure, if not nil, is called if the attempt ended before its first event without an
	// answer from the endpoint: the KV cache that it was to store will probably not be stored.
	RecordFailure func()
	// RecordAnswer, if not nil, is called with the outcome of an attempt that the endpoint did not
	// refuse: whether it failed, and the time that it took beyond the predicted first event.
	RecordAnswer func(bad bool, took time.Duration)
	// Borrow, if not nil, must be called before the request is sent: the endpoint fails if it refuses too many
	// requests, and a request needs one of its slots. It returns nil if none is free now; then another
	// placement is to be made.
	Borrow func(ctx context.Context) Slot
	// Slot is what Borrow returned.
	Slot Slot
	// RecordRun, if not nil, is called with the time that the endpoint took for the complete answer.
	RecordRun func(took time.Duration)
}

// Quarantine records requests during which endpoints ended.
type Quarantine interface {
	// HoldsKnown reports whether this node knows the requests that other nodes hold. It returns false for some time after
	// the node's start.
	HoldsKnown() bool
	// Empty reports whether no request is recorded.
	Empty() bool
	// HeldUntil returns the time until which a request must not be sent, or zero if it may be sent.
	HeldUntil(f quarantine.Fingerprint) time.Time
	// HeldPart returns the time until which no request with one of the parts must be sent, or zero.
	HeldPart(parts []quarantine.Part) time.Time
	// RecordEnd records that an endpoint ended while running a request, or one with a part, and reports
	// whether the request is quarantined from now on.
	RecordEnd(e quarantine.Ending) (quarantined bool)
	// Clear records that an endpoint completed a request, and reports whether the request was
	// recorded before.
	Clear(f quarantine.Fingerprint) (known bool)
	// ClearPart records that an endpoint began to answer a request with a part, and reports whether the part
	// was recorded before.
	ClearPart(account quarantine.Fingerprint, p quarantine.Part) (known bool)
}

// Origins knows which release of the endpoints' software began each stream.
type Origins interface {
	// Record records the origin of a stream, before the caller gets its first event. It does not block.
	Record(k origin.Key, o origin.Origin)
	// Find returns the origin of a stream that a caller resumes. A zero key means that the caller does
	// not name the request that began it. service is the one that must have begun the stream; empty if
	// several can have.
	Find(ctx context.Context, k origin.Key, service string) origin.Result
}

// Slot is the right to send one request to a brittle endpoint.
type Slot interface {
	// Release ends the right. refused is true if the endpoint refused the request for want of room.
	Release(refused bool)
}

// BrittleServices records which services have endpoints that fail if they refuse too many requests.
type BrittleServices interface {
	// Record records that an endpoint of a service stated that it bears the given number of refusals per
	// second. It reports whether that is new.
	Record(service string, maxRefusals int) (isNew bool)
}

// Fleet records which endpoints are draining.
type Fleet interface {
	// MarkDraining records that an endpoint reported that it is draining, and reports whether that
	// is new. The endpoint receives no further requests.
	MarkDraining(m *fleet.Member, now time.Time) (isNew bool)
}

// Placer selects endpoints.
type Placer interface {
	// Place returns a placement, or false if no endpoint accepts the request now. In that case only
	// Reason, RefusalCode, PredictedWait and OnRefusal are set, as far as they are known.
	Place(q *Query) (Placement, bool)
}
