package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/enginepace"
	"github.com/cherryward/cherryward/internal/handoff"
	"github.com/cherryward/cherryward/internal/hostplan"
	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/residency"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/upstream"
)

// revocationMargin is subtracted from the revocation bound. It covers differences of clock rates
// and the time between the check and the send.
const revocationMargin = 300 * time.Millisecond

// Handler forwards requests. All fields except Clock must be set.
type Handler struct {
	Dialect      Dialect
	ConfigSource ConfigSource
	Placer       Placer
	Budgets      *Budgets
	// AgeEstimator estimates how long ago a caller first tried.
	AgeEstimator *AgeEstimator
	Quarantine   Quarantine
	Origins      Origins
	// ResumeTime returns the longest time between the first event of a stream and a request that resumes it.
	ResumeTime func() time.Duration
	// Fleet receives the endpoints that report that they are draining.
	Fleet Fleet
	// Brittle receives the services whose endpoints fail if they refuse too many requests. Nil means that this
	// is ignored.
	Brittle BrittleServices
	// Pace observes the pace of engines in the events of streams. Nil means that it is not observed.
	Pace *enginepace.Services
	// Paths states which services this node reaches. Nil means all.
	Paths Paths
	// Helpers are the nodes to which requests of other services are passed. Nil means that there are
	// none.
	Helpers *handoff.Table
	// ShuttingDown reports whether this node refuses requests of other nodes because it shuts down. Nil
	// means that it doesn't.
	ShuttingDown func() bool
	// Stop tells of the end of this node. Nil means that it doesn't come.
	Stop *Stop
	// Buffers bounds the memory of buffered bodies. Nil means that each is bounded alone.
	Buffers *Buffers
	// Pacer limits the rate of long answers that state no length. Nil means no limit.
	Pacer *Pacer
	// Clock times requests and what their answers state about endpoints. Nil means the monotonic
	// clock.
	Clock  *clock.Clock
	Bounds func() bootstrap.Bounds
	Recorder
	Log zerolog.Logger
}

var _ http.Handler = (*Handler)(nil)

// exchange is the state of one request while it is handled.
type exchange struct {
	*Handler
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	config    *routing.Config
	configAge time.Duration
	route     *routing.Route
	service   *routing.Service
	account   *routing.Account
	attrs     Attributes
	age       time.Duration // since the caller's first try, as estimated from its deadline
	body      []byte
	bodyRead  bool
	// bodyMemory is what is reserved of Buffers for the body.
	bodyMemory hostplan.Reservation
	passed     *handoff.Envelope // set if another node passed the request to this one
	counted    bool              // the request was counted in a retry budget

	outcome           Outcome
	sends             sendCounts
	placement         *Placement              // the latest one
	cause             error                   // reason for which the latest attempt failed
	excess            *upstream.ExcessError   // set if the endpoint sent too much in the latest attempt
	cachedFingerprint *quarantine.Fingerprint // computed on first use
	cachedParts       []quarantine.Part       // computed on first use
	heldPart          string                  // id of the part for which the request was refused
	endUncertain      bool                    // the latest answer may have been cut off without a sign
	answerBroken      bool                    // the latest attempt ended without a complete answer
	attemptTook       time.Duration           // duration of the latest attempt
	begun             bool                    // a complete event of the latest attempt has arrived
	// endpointReplaced is true if another endpoint answered the latest attempt.
	endpointReplaced  bool
	refusedForRoom    bool           // the endpoint refused the latest attempt for want of room
	written           bool           // the header of the answer was written
	position          position       // in the caller's stream
	release           string         // release that began the caller's stream; empty before its first event
	found             *origin.Result // origin of the stream that the caller resumes; nil if it resumes none
	pauses            pauses
	pace              *enginepace.Stream // of the latest attempt; nil if not observed
	callerWriteFailed bool               // writing to the caller failed
	helper            string             // the latest node that the request was passed to
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Handler: h, w: w, r: r, arrived: h.Clock.Now()}
	x.attrs = h.Dialect.ReadRequest(r.Header)
	x.serve()
}

// serve handles the request and answers it.
func (x *exchange) serve() {
	defer x.releaseBody()
	x.position = positionAt(x.attrs.ResumeAfter)
	err := x.admit()
	if err == nil {
		err = x.bindStream()
	}
	if err == nil {
		err = x.forward()
	}
	x.finish(err)
}

// admit matches the request to a route, client account and service, and reads its body. All its
// errors are refusals of requests that have not run.
func (x *exchange) admit() *result.Error {
	x.config, x.configAge = x.ConfigSource.Config()
	bounds := x.Bounds()
	if x.config == nil {
		return result.New(result.NodeStale, result.WithRetryAfter(retryAfterOtherNode))
	}
	if err := x.admitPassed(); err != nil {
		return err
	}
	if x.tooLarge() {
		return result.New(result.HeaderTooLarge)
	}
	if err := x.checkReading(); err != nil {
		return err
	}
	// A stale configuration may lack routes and keys that a newer one has.
	stale := x.configAge > bounds.ConfigApplyLimit
	x.route = x.config.Match(x.r.Host, rawPath(x.r))
	if x.route == nil {
		return staleErrorOr(stale, result.UnknownPath)
	}
	if !x.route.Public {
		if err := x.authenticate(stale, &bounds); err != nil {
			return err
		}
	}
	x.estimateAge()
	x.service = x.config.Service(x.route.Choose(rand.Float64()))
	if x.service == nil {
		return result.New(result.NoEndpoint, result.WithRetryAfter(retryAfterNoEndpoint))
	}
	return x.readBody()
}

// residency returns the policy for where the request may be served.
func (x *exchange) residency() residency.Policy {
	if x.route == nil {
		return residency.Policy{}
	}
	return routing.Residency(x.route, x.account)
}

// staleErrorOr returns NodeStale if the configuration is stale, and otherwise an error with the given
// code.
func staleErrorOr(stale bool, code result.Code) *result.Error {
	if stale {
		return result.New(result.NodeStale, result.WithRetryAfter(retryAfterOtherNode))
	}
	return result.New(code)
}

// authenticate finds the client account of the request's key. If the operators' revocation bound
// also holds during an outage of the store, a node whose configuration has not been confirmed
// recently accepts no key; otherwise it accepts the keys in its configuration.
func (x *exchange) authenticate(stale bool, bounds *bootstrap.Bounds) *result.Error {
	if !bounds.AcceptStaleKeys && x.configAge > bounds.RevokeLimit-revocationMargin {
		return result.New(result.NodeStale, result.WithRetryAfter(retryAfterOtherNode))
	}
	if x.attrs.Key == "" {
		return result.New(result.MissingKey)
	}
	x.account = x.config.AccountOf(x.attrs.Key)
	if x.account == nil {
		return staleErrorOr(stale, result.UnknownKey)
	}
	return nil
}

// tooLarge reports whether the request header exceeds the configured limit.
func (x *exchange) tooLarge() bool {
	limit := x.config.Limits.HeaderBytes
	if limit <= 0 {
		return false
	}
	size := len(x.r.RequestURI)
	for name, values := range x.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size > limit
}

// checkReading refuses requests that this node and an endpoint could read differently. The HTTP server has refused most of
// them.
func (x *exchange) checkReading() *result.Error {
	if x.attrs.Ambiguous != "" {
		return result.New(result.AmbiguousHeader, result.WithField(x.attrs.Ambiguous))
	}
	if x.r.ProtoAtLeast(1, 1) {
		return nil
	}
	x.w.Header().Set("Connection", "close")
	// HTTP/1.0 knows no chunks: a body that is sent in them looks like one that is empty.
	_, stated := x.r.Header["Content-Length"]
	if !stated && x.r.Method != http.MethodGet && x.r.Method != http.MethodHead {
		return result.New(result.UnclearBody)
	}
	return nil
}

// accountName returns the name of the caller's account; empty on public routes and before it is known.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// finish records the outcome, logs the request, and answers with an error if no endpoint's answer
// was delivered.
func (x *exchange) finish(err *result.Error) {
	x.outcome.Total, x.outcome.LongestPause = x.Clock.Since(x.arrived), x.pauses.longest
	x.outcome.Route = x.route
	x.outcome.Passed, x.outcome.Helper = x.passed != nil, x.helper != ""
	if x.found != nil {
		x.outcome.Origin = &x.found.Source
	}
	x.outcome.Account = x.accountName()
	if err != nil {
		x.outcome.Code = err.Code
		x.outcome.Status = statusOf(err)
	}
	x.logRequest(err)
	x.Recorder.Forwarded(&x.outcome)
	if err != nil {
		x.limitUnreadBody(err)
	}
	switch {
	case err == nil:
	case x.written, err.Code == result.CallerDisconnected:
		// Aborting the connection is the only way to show that the answer is incomplete.
		panic(http.ErrAbortHandler)
	case x.passed != nil:
		x.writeRefusal(x.w, x.attrs.ID, err)
	default:
		x.writeError(x.w, x.attrs.ID, err)
	}
}
