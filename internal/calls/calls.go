// Package calls calls plain services and executes ticketed calls at most once.
//
// Guarantee: a call that is not declared idempotent is sent to at most one endpoint, once. With a
// ticket this also holds if the caller repeats the call at any node. An error states not_run only
// if no byte of the call reached an endpoint, or if the engine of a ticketed prompt stated that it did
// not run the prompt.
package calls

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cherryward/cherryward/internal/hostplan"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runs"
)

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Account   string            `json:"account"`
	Service   string            `json:"service"`
	Method    string            `json:"method"`
	Path      string            `json:"path"` // path with query
	Header    map[string]string `json:"header,omitempty"`
	Body      []byte            `json:"body,omitempty"`
	RequestID string            `json:"request_id"`
	TimeLeft  time.Duration     `json:"time_left"`
}

// ServiceAnswer is a service's complete answer, of any status. It must be released.
type ServiceAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`

	memory hostplan.Reservation
}

// Release gives back the memory of the body, which must not be used any more.
func (a *ServiceAnswer) Release() {
	a.Body = nil
	a.memory.Resize(0)
}

// TicketedPromptAnswer is the complete answer to a ticketed prompt.
type TicketedPromptAnswer struct {
	Summary runs.Summary `json:"summary"`
	Text    string       `json:"text"`
}

// TicketedCall is a call as sent to the executor of its ticket. Exactly one of Service and Prompt is
// set.
type TicketedCall struct {
	Service *ServiceCall  `json:"service,omitempty"`
	Prompt  *runs.Request `json:"prompt,omitempty"`
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration `json:"time_left"`
}

// Prompts runs prompts.
type Prompts interface {
	Run(ctx context.Context, req *runs.Request, sink runs.Sink) (runs.Summary, error)
}

// textCollector is a runs.Sink that collects the text of an answer.
type textCollector struct {
	text []byte
}

var _ runs.Sink = (*textCollector)(nil)

// Started implements runs.Sink.
func (c *textCollector) Started(runs.Start) error { return nil }

// Tokens implements runs.Sink.
func (c *textCollector) Tokens(_ string, _ int, text string) error {
	c.text = append(c.text, text...)
	return nil
}

// encode returns v as JSON. It panics on an error, as the types of this package always encode.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("calls: " + err.Error())
	}
	return data
}

func decode[T any](data []byte) (*T, error) {
	out := new(T)
	if err := json.Unmarshal(data, out); err != nil {
		return nil, result.Wrap(err, result.MalformedBody)
	}
	return out, nil
}
