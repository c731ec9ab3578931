package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/standin/fault"
)

const maxRequestBytes = 16 << 20

func (e *Engine) serveStart(w http.ResponseWriter, r *http.Request) {
	var req enginewire.RunRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		writeError(w, notRun(enginewire.ErrBadRequest, err.Error()))
		return
	}
	if err := e.rejectByFault(); err != nil {
		writeError(w, err)
		return
	}
	run, err := e.newRun(&req)
	if err == nil {
		err = e.submit(run)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	e.follow(w, r, run, 0)
}

// rejectByFault returns an error if a fault rejects the request.
func (e *Engine) rejectByFault() *enginewire.Error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startRequests++
	f := e.Faults.Get()
	if f.RefuseOverloaded {
		return notRun(enginewire.ErrOverloaded, "overloaded")
	}
	if nth(e.startRequests, f.FailEvery) {
		return &enginewire.Error{Code: enginewire.ErrInternal, Message: "failed before the start"}
	}
	return nil
}

// find returns a retained run, or nil.
func (e *Engine) find(id string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	run := e.find(r.PathValue("id"))
	if run == nil {
		writeError(w, &enginewire.Error{Code: enginewire.ErrRunUnknown, Message: "unknown or expired run"})
		return
	}
	from := 0
	if v := r.URL.Query().Get("from"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > run.maxTokens {
			writeError(w, &enginewire.Error{Code: enginewire.ErrBadRequest, Message: "from is not a valid offset of the run"})
			return
		}
		from = n
	}
	e.follow(w, r, run, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	run := e.runs[r.PathValue("id")]
	if run != nil {
		e.abort(run, &enginewire.Error{Code: enginewire.ErrCancelled, Message: "cancelled", NotRun: !run.started})
	}
	e.mu.Unlock()
	if run == nil {
		writeError(w, &enginewire.Error{Code: enginewire.ErrRunUnknown, Message: "unknown or expired run"})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// attach attaches a stream to the run, which has at most one; the previous one is dropped.
func (e *Engine) attach(r *run) (reader, terminated chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.reader != nil {
		close(r.reader)
	}
	r.reader = make(chan struct{}, 1)
	return r.reader, r.terminated
}

func (e *Engine) detach(r *run, reader chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.reader == reader {
		r.reader = nil
		e.scheduleExpiry(r)
	}
}

// follow streams the run's frames, from output token from on, until the run ends.
func (e *Engine) follow(w http.ResponseWriter, req *http.Request, r *run, from int) {
	reader, terminated := e.attach(r)
	defer e.detach(r, reader)
	s := newFrameWriter(w, e, r, from)
	changed := e.Faults.Changed()
	for !s.send() {
		if e.Faults.Get().stopped() && !e.Faults.Wait(req.Context().Done()) {
			fault.Drop()
		}
		select {
		case _, ok := <-reader:
			if !ok {
				fault.Drop()
			}
		case <-changed:
			changed = e.Faults.Changed()
		case <-req.Context().Done():
			return
		case <-terminated:
			fault.Drop()
		case <-e.closed:
			fault.Drop()
		}
	}
}

// frameWriter writes the frames of one stream.
type frameWriter struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	e       *Engine
	run     *run
	from    int
	next    int // offset of the next token
	started bool
	frame   enginewire.Frame
	buf     bytes.Buffer
	enc     *json.Encoder
}

func newFrameWriter(w http.ResponseWriter, e *Engine, r *run, from int) *frameWriter {
	s := &frameWriter{w: w, flush: http.NewResponseController(w), e: e, run: r, from: from, next: from}
	s.enc = json.NewEncoder(&s.buf)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	s.flushNow()
	return s
}

func (s *frameWriter) flushNow() {
	// A flush fails only if the client has disconnected, which cancels the request's context.
	_ = s.flush.Flush()
}

// send writes all available frames and reports whether the stream is complete.
func (s *frameWriter) send() bool {
	ended := s.run.is(phaseEnded)
	if s.e.Faults.Get().stopped() || s.run.is(phaseWaiting) {
		return false
	}
	if !s.started && s.run.started {
		s.started = true
		s.write(s.start())
	}
	for produced := int(s.run.produced.Load()); s.next < produced; {
		f := s.e.Faults.Get()
		if f.stopped() {
			return false
		}
		if s.cut(f) {
			return true
		}
		s.token(f)
	}
	if !ended {
		return false
	}
	s.write(s.finalFrame())
	return true
}

// cut applies the faults that end a stream early, and reports whether one did.
func (s *frameWriter) cut(f Faults) bool {
	sent := s.next - s.from
	if sent == 0 {
		return false
	}
	if sent == f.FailAfter {
		s.e.fail(s.run)
		s.write(s.errorFrame(&enginewire.Error{Code: enginewire.ErrInternal, Message: "failed while running"}))
		return true
	}
	return sent == f.TruncateAfter
}

// fail ends and removes a run.
func (e *Engine) fail(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abort(r, &enginewire.Error{Code: enginewire.ErrInternal, Message: "failed while running"})
	delete(e.runs, r.id)
}
