package forward

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/routing"
)

// revokeMargin is subtracted from the revocation bound, for clock rates and the
// time between the check and the send.
const revokeMargin = 300 * time.Millisecond

// Handler forwards requests. All fields must be set.
type Handler struct {
	Dialect Dialect
	State   State
	Placer  Placer
	Budgets *Budgets
	// Patience tells callers' first tries from later ones.
	Patience   *Patience
	Quarantine Quarantine
	// Fleet is told which endpoints drain.
	Fleet Fleet
	// Clock dates requests, and what is learned from them of endpoints. Nil is the steady clock.
	Clock  *clock.Clock
	Bounds func() bootstrap.Bounds
	Recorder
	Log zerolog.Logger
}

// Recorder counts what became of requests.
type Recorder interface {
	// Forwarded counts a finished request.
	Forwarded(o *Outcome)
}

// Outcome is what became of a request.
type Outcome struct {
	Route    *routing.Route
	Account  string
	Code     result.Code // 0 where an endpoint's answer was delivered
	Status   int
	Attempts int
	First    time.Duration // until the first byte of the answer; 0 without one
	Total    time.Duration
}

var _ http.Handler = (*Handler)(nil)

// exchange is one request while it is handled.
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
	age       time.Duration // since the caller's first try
	body      []byte

	outcome Outcome
	sends   sends
	placed  *Placement              // the newest one
	cause   error                   // of the newest failed attempt
	print   *quarantine.Fingerprint // nil until it is needed
	lost    bool                    // the newest attempt ended with its connection, before the answer's end
	// replaced is true where another endpoint answered the newest attempt.
	replaced bool
	written  bool     // the head of the answer was written
	at       position // of the caller's stream
	unread   bool     // the caller could not be written to
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Handler: h, w: w, r: r, arrived: h.Clock.Now()}
	x.attrs = h.Dialect.ReadRequest(r.Header)
	x.at = positionAt(x.attrs.ResumeAfter)
	err := x.admit()
	if err == nil {
		err = x.forward()
	}
	x.finish(err)
}

// admit finds out what the request may do. Its errors are refusals of requests
// that have not run.
func (x *exchange) admit() *result.Error {
	x.config, x.configAge = x.State.Config()
	bounds := x.Bounds()
	if x.config == nil {
		return result.New(result.NodeStale, result.WithRetryAfter(retryElsewhere))
	}
	if x.tooLarge() {
		return result.New(result.HeaderTooLarge)
	}
	// An older configuration may lack what a newer one allows.
	stale := x.configAge > bounds.ConfigApply
	x.route = x.config.Match(x.r.Host, rawPath(x.r))
	if x.route == nil {
		return unlessStale(stale, result.UnknownPath)
	}
	if !x.route.Public {
		if err := x.authenticate(stale, &bounds); err != nil {
			return err
		}
	}
	x.age = x.Patience.Age(x.route.Name, x.attrs.Deadline, x.arrived)
	x.service = x.config.Service(x.route.Choose(rand.Float64()))
	if x.service == nil {
		return result.New(result.NoEndpoint, result.WithRetryAfter(retryNoEndpoint))
	}
	return x.readBody()
}

func unlessStale(stale bool, code result.Code) *result.Error {
	if stale {
		return result.New(result.NodeStale, result.WithRetryAfter(retryElsewhere))
	}
	return result.New(code)
}

// authenticate finds the client account of the key. Where the operators' bound on revoked
// keys holds during an outage of the store, a node without a recent proof of its
// configuration accepts none; else it goes on with the keys that it knows.
func (x *exchange) authenticate(stale bool, bounds *bootstrap.Bounds) *result.Error {
	if !bounds.AcceptStaleKeys && x.configAge > bounds.Revoke-revokeMargin {
		return result.New(result.NodeStale, result.WithRetryAfter(retryElsewhere))
	}
	if x.attrs.Key == "" {
		return result.New(result.MissingKey)
	}
	x.account = x.config.AccountOf(x.attrs.Key)
	if x.account == nil {
		return unlessStale(stale, result.UnknownKey)
	}
	return nil
}

// tooLarge reports whether the header is longer than the configuration allows.
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

// readBody reads the whole body, so that it can be sent again.
func (x *exchange) readBody() *result.Error {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	limit := x.config.Limits.BodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		return result.New(result.BodyTooLarge)
	}
	body := io.Reader(x.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	control := http.NewResponseController(x.w)
	// Without support for deadlines, as in tests, a body may take as long as it likes.
	_ = control.SetReadDeadline(x.steady(x.arrived.Add(x.route.Timeout)))
	data, err := readAll(body, x.r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return result.New(result.BodyTooLarge)
	case err != nil:
		return result.Wrap(err, result.BodyTimeout)
	}
	x.body = data
	return nil
}

// readAll reads a body into a buffer of its stated size, if one is stated.
func readAll(r io.Reader, size int64) ([]byte, error) {
	if size <= 0 {
		return io.ReadAll(r)
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	return data, err
}

// finish answers where nothing was delivered, and leaves one line in the log.
func (x *exchange) finish(err *result.Error) {
	x.outcome.Total = x.Clock.Since(x.arrived)
	x.outcome.Route = x.route
	if x.account != nil {
		x.outcome.Account = x.account.Name
	}
	if err != nil {
		x.outcome.Code = err.Code
		x.outcome.Status = statusOf(err)
	}
	x.log(err)
	x.Recorder.Forwarded(&x.outcome)
	switch {
	case err == nil:
	case x.written, err.Code == result.CallerGone:
		// Only a connection that breaks off shows that the answer isn't whole.
		panic(http.ErrAbortHandler)
	default:
		x.writeError(x.w, x.attrs.ID, err)
	}
}

func (x *exchange) log(err *result.Error) {
	event := x.Log.Info().Str("event", "request").Str("id", x.attrs.ID).
		Int("status", x.outcome.Status).Int("code", int(x.outcome.Code)).
		Int("attempts", x.outcome.Attempts).
		Int64("config_age_ms", x.configAge.Milliseconds())
	if x.config != nil {
		event = event.Int64("config", x.config.Version)
	}
	if x.route != nil {
		event = event.Str("route", x.route.Name).Str("account", x.outcome.Account)
	}
	if x.placed != nil {
		event = x.placed.log(event, x.Clock)
	}
	if x.age > 0 {
		event = event.Int64("age_ms", x.age.Milliseconds())
	}
	if parts := x.attrs.Parts; len(parts) > 1 {
		event = event.Str("session", parts[len(parts)-2].ID).Int("session_tokens", parts[len(parts)-2].Tokens)
	}
	if x.print != nil {
		event = event.Stringer("fingerprint", x.print)
	}
	if x.cause != nil {
		event = event.Str("cause", x.cause.Error())
	}
	if err != nil {
		event = event.Str("outcome", err.Code.String())
	}
	event.Int64("first_ms", x.outcome.First.Milliseconds()).Int64("total_ms", x.outcome.Total.Milliseconds()).Send()
}

// rawPath returns the path as the caller wrote it.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(target(r), "?")
	return path
}

// target returns the path and query as the caller wrote them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
