// Package handoff lets a node without a path to the endpoints of a service pass a request to another
// node, which forwards it.
//
// The request is sent over HTTP/1.1 as the caller sent it, with an Envelope in a header. The other node
// treats it as one of its own callers' requests: it authenticates and places it, and retries it within
// its own budget. Its answer is the endpoint's, or an error with a Refusal in a header.
//
// Guarantees:
//
//   - A request is passed on once: a node that receives one never passes it to a third.
//   - It is passed to a second node only if the first has certainly not sent it to an endpoint: it
//     could not be connected to, or it stated so.
package handoff

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/result"
)

const (
	envelopeHeader = "Cherryward-Handoff"
	refusalHeader  = "Cherryward-Handoff-Refusal"
)

// Envelope is what the node that received a request from its caller states about it.
type Envelope struct {
	// From is the name of the node.
	From string `json:"from"`
	// Config is the version of its configuration. A node with an older one must refuse the request,
	// since callers must not see a node return to an older configuration.
	Config int64 `json:"config"`
	// LeftMS is the time until the request's deadline and the route's timeout, whichever is earlier.
	LeftMS int64 `json:"left_ms"`
	// AgeMS is the estimated time since the caller first tried.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Attempts is the number of endpoints that may still receive the request.
	Attempts int `json:"attempts"`
	// Counted is true if the request was counted in the retry budget of the node that states it.
	Counted bool `json:"counted,omitempty"`
	// ResumeAfter is the id of the last event of a stream that the caller has; empty if none.
	ResumeAfter string `json:"resume_after,omitempty"`
	// Service and Release are the service, and the release of its endpoints' software, that began the
	// stream. Release is empty if none has. Only nodes whose Node.BindsReleases is true read them.
	Service string `json:"service,omitempty"`
	Release string `json:"release,omitempty"`
}

// maxMS is the longest time that nodes tell each other, which a time.Duration can hold.
const maxMS = 1 << 42

// boundedMS returns the time in the valid range that is nearest to ms.
func boundedMS(ms int64) int64 { return min(max(ms, 0), maxMS) }

// Left returns the time until the request's deadline.
func (e *Envelope) Left() time.Duration { return time.Duration(e.LeftMS) * time.Millisecond }

// Age returns the estimated time since the caller first tried.
func (e *Envelope) Age() time.Duration { return time.Duration(e.AgeMS) * time.Millisecond }

// Set adds the envelope to a request's header.
func (e *Envelope) Set(h http.Header) error {
	data, err := json.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "encode the envelope")
	}
	h.Set(envelopeHeader, string(data))
	return nil
}

// Read decodes the envelope in a request's header. It fails if there is none or a value is out of range.
func Read(h http.Header) (*Envelope, error) {
	e := &Envelope{}
	if err := json.Unmarshal([]byte(h.Get(envelopeHeader)), e); err != nil {
		return nil, eris.Wrap(err, "decode the envelope")
	}
	if e.From == "" || e.LeftMS != boundedMS(e.LeftMS) || e.AgeMS != boundedMS(e.AgeMS) || e.Attempts < 1 {
		return nil, eris.Errorf("envelope is out of range: from %q, left %d ms, age %d ms, %d attempts", e.From, e.LeftMS, e.AgeMS, e.Attempts)
	}
	return e, nil
}

// Refusal is the error of a node that was passed a request.
type Refusal struct {
	Code         result.Code     `json:"code"`
	RunState     result.RunState `json:"run_state"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

// RefusalOf returns the refusal that states an error.
func RefusalOf(e *result.Error) Refusal {
	return Refusal{Code: e.Code, RunState: e.RunState, RetryAfterMS: e.RetryAfter.Milliseconds()}
}

// Error returns the error that the refusal states.
func (r Refusal) Error() *result.Error {
	return result.New(r.Code, result.WithRunState(r.RunState), result.WithRetryAfter(time.Duration(boundedMS(r.RetryAfterMS))*time.Millisecond))
}

// TryOther reports whether another node may serve the request: this one has not sent it, for a reason of
// its own.
func (r Refusal) TryOther() bool {
	if r.RunState != result.NotRun {
		return false
	}
	switch r.Code {
	case result.PathLost, result.NodeStale, result.Draining:
		return true
	}
	return false
}

// Set adds the refusal to an answer's header.
func (r Refusal) Set(h http.Header) error {
	data, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode the refusal")
	}
	h.Set(refusalHeader, string(data))
	return nil
}

// ReadRefusal decodes the refusal in an answer's header, or returns nil if there is none. One that
// can't be decoded counts as an internal error after which the request may have run.
func ReadRefusal(h http.Header) *Refusal {
	text := h.Get(refusalHeader)
	if text == "" {
		return nil
	}
	r := &Refusal{}
	if err := json.Unmarshal([]byte(text), r); err != nil || !r.RunState.Valid() {
		return &Refusal{Code: result.Internal, RunState: result.MayHaveRun}
	}
	return r
}

// Strip removes the headers of this package, which callers and endpoints must not set.
func Strip(h http.Header) {
	h.Del(envelopeHeader)
	h.Del(refusalHeader)
}
