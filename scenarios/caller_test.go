package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cherryward/cherryward/internal/demo"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runid"
)

// outcome is a request of a caller and its result. The lock guards the fields that change while the
// request is in flight.
type outcome struct {
	name    string
	account string
	prompt  string
	max     int
	bodyID  string // of a service call
	isRun   bool
	call    bool
	entry   *nodeProcess
	done    chan struct{}

	mu             sync.Mutex
	status         int
	text           string
	eventID        string
	offset         int
	complete       bool
	disconnected   bool // the caller disconnected or could not connect
	notSent        bool // the connection could not be established
	code           result.Code
	state          result.RunState
	message        string
	promptTokens   int // tokens
	cached         int
	imported       int
	firstTokenTime time.Duration
	total          time.Duration
}

func (o *outcome) setError(code result.Code, state result.RunState, message string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.code, o.state, o.message = code, state, message
}

// start runs a request, in the background if the script requests that.
func (w *world) start(a *args, o *outcome, do func(*outcome)) error {
	o.done = make(chan struct{})
	w.record(o)
	run := func() {
		defer close(o.done)
		do(o)
	}
	if a.background {
		w.wg.Go(run)
	} else {
		run()
	}
	return nil
}

func (w *world) record(o *outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results[o.name] = o
	w.all = append(w.all, o)
}

// join waits for background requests.
func (w *world) join(a *args) error {
	for _, name := range a.words {
		o, ok := w.results[name]
		if !ok {
			return fmt.Errorf("no request %q", name)
		}
		select {
		case <-o.done:
		case <-time.After(awaitLimit):
			return fmt.Errorf("request %s is still running", name)
		}
	}
	return nil
}

// promptOf returns a prompt with a number of tokens, or the next turn of the conversation after
// another request.
func (w *world) promptOf(a *args, name string) (string, error) {
	if after := a.text("after", ""); after != "" {
		o, ok := w.results[after]
		if !ok {
			return "", fmt.Errorf("no request %q", after)
		}
		return o.prompt + o.text + " And then, " + name + "?", nil
	}
	return longPrompt(a.text("topic", name), a.number("tokens", 64)), nil
}

func longPrompt(topic string, tokens int) string {
	line := fmt.Sprintf("Record of %s: poured and logged without a gap. ", topic)
	return strings.Repeat(line, tokens*4/len(line)+1)[:tokens*4]
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Options   *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options,omitempty"`
}

// ask sends a prompt as a caller.
func (w *world) ask(a *args) error {
	o := &outcome{name: a.word(0), account: a.text("as", demo.Accounts[0]), isRun: true, offset: -1}
	var err error
	if o.prompt, err = w.promptOf(a, o.name); err != nil {
		return err
	}
	o.max = a.number("max", 24)
	if o.entry, err = w.find(a.text("at", "n1")); err != nil {
		return err
	}
	header := w.headers(a)
	model, stream, raw := a.text("model", demo.Model), a.flag("stream", true), a.text("raw", "")
	return w.start(a, o, func(o *outcome) {
		if raw != "" {
			w.send(w.ctx, o, http.MethodPost, "/v1/completions", []byte(raw), header)
			return
		}
		w.complete(w.ctx, o, model, stream, header)
	})
}

// headers returns the request headers that the options set.
func (w *world) headers(a *args) http.Header {
	h := make(http.Header)
	for option, name := range map[string]string{"timeout": "X-Timeout", "priority": "X-Priority", "attempt": "X-Attempt", "key": "Idempotency-Key", "bearer": "Authorization"} {
		if v := a.text(option, ""); v != "" {
			h.Set(name, v)
		}
	}
	if v := a.text("ticket", ""); v != "" {
		h.Set("Idempotency-Key", w.tickets[v])
	}
	return h
}

func (w *world) complete(ctx context.Context, o *outcome, model string, stream bool, header http.Header) {
	body := completionRequest{Model: model, Prompt: o.prompt, MaxTokens: o.max, Stream: stream}
	if stream {
		body.Options = &struct {
			IncludeUsage bool `json:"include_usage"`
		}{true}
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.send(ctx, o, http.MethodPost, "/v1/completions", data, header)
}

// endpoint returns the engine of the run in the id of the last event.
func (o *outcome) endpoint() string {
	run, _, err := runid.ParseEventID(o.eventID)
	if err != nil {
		return ""
	}
	return run[strings.LastIndex(run, "-engine-")+1:] // the id ends with the name
}

// send sends one request and reads the response.
func (w *world) send(ctx context.Context, o *outcome, method, path string, body []byte, header http.Header) {
	start := time.Now()
	defer func() {
		o.mu.Lock()
		o.total = time.Since(start)
		o.mu.Unlock()
	}()
	req, err := http.NewRequestWithContext(ctx, method, o.entry.callers+path, bytes.NewReader(body))
	if err != nil {
		o.setError(0, "", err.Error())
		return
	}
	req.GetBody = nil // prevents retries by the HTTP client
	req.Header = header.Clone()
	req.Header.Set("X-Request-Id", strings.ReplaceAll(o.name, " ", "-"))
	if req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+demo.KeyOf(o.account))
	}
	resp, err := plainClient.Do(req)
	if err != nil {
		o.connectionFailed(ctx, err)
		return
	}
	defer resp.Body.Close()
	o.read(ctx, resp, start)
}

// resume resumes an interrupted stream. The text of the result starts with that of the interrupted
// one.
func (w *world) resume(a *args) error {
	from, ok := w.results[a.text("from", "")]
	if !ok {
		return errors.New("option from is not the name of a request")
	}
	<-from.done
	n, err := w.find(a.text("at", "n1"))
	if err != nil {
		return err
	}
	o := &outcome{name: a.word(0), account: a.text("as", from.account), prompt: from.prompt, max: from.max, isRun: true, entry: n, offset: from.offset}
	o.text = from.text
	header := http.Header{"Last-Event-Id": {from.eventID}}
	return w.start(a, o, func(o *outcome) {
		w.send(w.ctx, o, http.MethodGet, "/v1/runs/any?object=text_completion", nil, header)
	})
}

// ticket requests a ticket and saves it under a name. The option text saves the given text as a
// ticket instead.
func (w *world) ticket(a *args) error {
	name := a.word(0)
	n, err := w.find(a.text("at", "n1"))
	if err != nil {
		return err
	}
	if text := a.text("text", ""); text != "" {
		w.tickets[name] = text
		return nil
	}
	o := &outcome{name: "ticket " + name, account: a.text("as", demo.Accounts[0]), entry: n}
	w.send(w.ctx, o, http.MethodPost, "/v1/tickets", nil, http.Header{})
	var list struct{ Data []string }
	if err := json.Unmarshal([]byte(o.text), &list); err != nil || len(list.Data) != 1 {
		return fmt.Errorf("ticket: status %d, error %d", o.status, o.code)
	}
	w.tickets[name] = list.Data[0]
	return nil
}

// call calls the plain service as a caller. Calls with the same option body count as one call.
func (w *world) call(a *args) error {
	o := &outcome{name: a.word(0), account: a.text("as", demo.Accounts[0]), call: true}
	o.bodyID = a.text("body", o.name)
	var err error
	if o.entry, err = w.find(a.text("at", "n1")); err != nil {
		return err
	}
	header := w.headers(a)
	header.Set("X-Body-ID", o.bodyID)
	method, path := a.text("method", http.MethodPost), a.text("path", "/charges")
	return w.start(a, o, func(o *outcome) {
		w.send(w.ctx, o, method, "/services/"+demo.Ledger+path, []byte(`{"charge":"`+o.bodyID+`"}`), header)
	})
}
