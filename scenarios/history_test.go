package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/api/wire/storewire"
	"github.com/cherryward/cherryward/internal/demo"
	"github.com/cherryward/cherryward/internal/invariant"
	"github.com/cherryward/cherryward/standin/engine"
)

const (
	checkInterval = 100 * time.Millisecond
	checksPerRead = 5 // the configuration is read at each nth check
)

// oracle computes the complete response of an engine without faults.
type oracle struct {
	engine *engine.Engine
	mu     sync.Mutex
	runs   int
}

func newOracle() *oracle {
	loaded := enginewire.Loaded{Model: demo.Model, Version: demo.Version}
	return &oracle{engine: engine.New(engine.Config{Loaded: []enginewire.Loaded{loaded}})}
}

func (or *oracle) answer(prompt string, max int) string {
	or.mu.Lock()
	or.runs++
	id := strconv.Itoa(or.runs)
	or.mu.Unlock()
	body, err := json.Marshal(enginewire.RunRequest{Run: id, Model: demo.Model, Version: demo.Version, Prompt: prompt, MaxTokens: max})
	if err != nil {
		panic(err)
	}
	rec := httptest.NewRecorder()
	or.engine.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, enginewire.PathRuns, bytes.NewReader(body)))
	var text strings.Builder
	for line := range strings.Lines(rec.Body.String()) {
		var f enginewire.Frame
		if data, ok := strings.CutPrefix(line, "data: "); ok && json.Unmarshal([]byte(data), &f) == nil {
			text.WriteString(f.Text)
		}
	}
	return text.String()
}

// wrap returns a handler that records the runs requested from and started by an engine.
func (w *world) wrap(endpoint string, h http.Handler) http.Handler {
	if !strings.HasPrefix(endpoint, "engine-") {
		return h
	}
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != enginewire.PathRuns {
			h.ServeHTTP(rw, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		var req enginewire.RunRequest
		if err == nil && json.Unmarshal(body, &req) == nil {
			w.recordRunRequest(endpoint, req.Prompt)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer := &startRecorder{ResponseWriter: rw, onStart: func() { w.recordRunStart(req.Prompt) }}
		h.ServeHTTP(answer, r)
		if answer.started {
			w.recordRunEnd()
		}
	})
}

func (w *world) recordRunRequest(endpoint, prompt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.Starts = append(w.history.Starts, invariant.RunStart{Endpoint: endpoint, Prompt: prompt, At: time.Now()})
}

func (w *world) recordRunStart(prompt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runStarts[prompt]++
	w.running++
	w.peak = max(w.peak, w.running)
}

func (w *world) recordRunEnd() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// startKind occurs in the frame that an engine sends when it starts a run.
var startKind = []byte(`"kind":"start"`)

// startRecorder is a ResponseWriter that detects the start of a run.
type startRecorder struct {
	http.ResponseWriter
	onStart func()
	started bool
}

// Write implements http.ResponseWriter.
func (t *startRecorder) Write(p []byte) (int, error) {
	if !t.started && bytes.Contains(p, startKind) {
		t.started = true
		t.onStart()
	}
	return t.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController flush.
func (t *startRecorder) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// watchNode checks the readiness of a node periodically, like a load balancer, and reads its
// configuration at a lower rate for the history, until its process ends.
func (w *world) watchNode(n *nodeProcess) {
	process := fmt.Sprintf("%s-%d", n.id, n.cmd.Process.Pid)
	for check := 0; sleep(w.ctx, checkInterval); check++ {
		select {
		case <-n.ended:
			n.inService.Store(false)
			return
		default:
		}
		n.inService.Store(n.ready(w.ctx) == http.StatusOK)
		if check%checksPerRead == 0 {
			w.readConfiguration(n, process)
		}
	}
}

func (w *world) readConfiguration(n *nodeProcess, process string) {
	list, err := n.list(w.ctx)
	if err != nil {
		return // frozen, draining or stopped
	}
	r := invariant.Reading{Process: process, Applied: list.GetApplied(), Revisions: make(map[string]int64)}
	for _, o := range list.GetObjects() {
		r.Revisions[objectID(o)] = o.GetRevision()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.Readings = append(w.history.Readings, r)
}

func (n *nodeProcess) list(ctx context.Context) (*pb.ListResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	resp, err := demo.ClientAt(n.operators).List(ctx, connect.NewRequest(&pb.ListRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// revision returns the revision of an object at a node, or 0 if the object doesn't exist.
func (n *nodeProcess) revision(object string) int64 {
	list, err := n.list(context.Background())
	if err != nil {
		return 0
	}
	for _, o := range list.GetObjects() {
		if objectID(o) == object {
			return o.GetRevision()
		}
	}
	return 0
}

// collect returns the history for the invariant checks.
func (w *world) collect() *invariant.History {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.history
	for _, o := range w.all {
		switch {
		case o.isRun:
			h.Answers = append(h.Answers, w.answerOf(o))
		case o.call:
			h.Calls = append(h.Calls, invariant.Call{Name: o.name, BodyID: o.bodyID, Code: o.code, RunState: o.state})
		}
	}
	for _, e := range w.fleet.Service.Executions() {
		h.Executions = append(h.Executions, invariant.Execution{BodyID: e.BodyID, Idempotent: e.Method == http.MethodGet, Count: e.Count})
	}
	for _, e := range w.fleet.Engines {
		h.WrongBlocks += e.WrongBlocks()
	}
	return &h
}

func (w *world) answerOf(o *outcome) invariant.Answer {
	return invariant.Answer{
		Name: o.name, Account: o.account, Prompt: o.prompt,
		Want: w.oracle.answer(o.prompt, o.max), Text: o.text, Offset: o.offset, Whole: o.complete,
		Code: o.code, RunState: o.state, Cached: o.cached,
		EntryGone: o.disconnected || o.entry.killed.Load(),
		Engines:   w.runStarts[o.prompt],
	}
}

// standinValue returns a value of a stand-in.
func (w *world) standinValue(name, field string) (string, error) {
	if name == "engines" && field == "peak" {
		w.mu.Lock()
		defer w.mu.Unlock()
		return strconv.Itoa(w.peak), nil
	}
	base, err := w.base(name)
	if err != nil {
		return "", err
	}
	switch {
	case name == demo.Ledger:
		return w.executions(strings.TrimPrefix(field, "executions."))
	case field == "runs":
		return w.runRequestsAt(name), nil
	case field == "used":
		return storeUsed(base)
	case field == "owner":
		return w.ownerOf(name)
	}
	return "", errors.New("unknown value: " + name + "." + field)
}

// executions returns the number of executions of a body id by the service.
func (w *world) executions(body string) (string, error) {
	count := 0
	for _, e := range w.fleet.Service.Executions() {
		if e.BodyID == body {
			count += e.Count
		}
	}
	return strconv.Itoa(count), nil
}

func (w *world) runRequestsAt(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, s := range w.history.Starts {
		if s.Endpoint == name {
			count++
		}
	}
	return strconv.Itoa(count)
}

func storeUsed(base string) (string, error) {
	resp, err := plainClient.Get(base + storewire.PathUsage)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var usage storewire.Usage
	err = json.NewDecoder(resp.Body).Decode(&usage)
	return strconv.FormatInt(usage.Memory.Used+usage.Disk.Used, 10), err
}

// ownerOf returns the owner of an endpoint according to the first running node.
func (w *world) ownerOf(name string) (string, error) {
	ctx, cancel := context.WithTimeout(w.ctx, awaitLimit)
	defer cancel()
	for _, n := range w.order {
		if n.stopped.Load() || n.frozen.Load() {
			continue
		}
		resp, err := demo.StatusClientAt(n.operators).Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err != nil {
			return "", err
		}
		for _, e := range resp.Msg.GetEndpoints() {
			if e.GetName() == name {
				return e.GetOwner(), nil
			}
		}
	}
	return "", nil
}
