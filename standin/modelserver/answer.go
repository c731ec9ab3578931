package modelserver

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	version, end := s.begin(r.Header.Get("X-Model"))
	if end != nil {
		defer end()
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	for name, value := range faults.signals() {
		w.Header().Set(name, value)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.cfg.ID {
		w.Header().Set("X-Instance-Id", s.cfg.ID)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Version"); expected != "" && expected != strconv.FormatInt(version, 10) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	refused := faults.RejectRequests || end == nil
	s.recordArrival(id, faults, refused)
	if refused {
		if faults.RejectRequests && faults.RetryAfter != "" {
			w.Header().Set("Retry-After", faults.RetryAfter)
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.Endless.Refuses() {
		s.serveEndless(w, &faults, id)
		return
	}
	s.run(w, r, id, version, faults)
}

// signals returns the headers in which the server reports its state in each response.
func (f *Faults) signals() map[string]string {
	headers := make(map[string]string)
	for name, value := range map[string]string{"Server-Limit": f.Limit, "Server-Leaving": f.Draining, "Server-Brittle": f.Brittle} {
		if value != "" {
			headers[name] = value
		}
	}
	return headers
}

// signalLines returns the same headers as lines of a raw HTTP response.
func (f *Faults) signalLines() string {
	var lines strings.Builder
	for name, value := range f.signals() {
		fmt.Fprintf(&lines, "%s: %s\r\n", name, value)
	}
	return lines.String()
}

// recordArrival records a request that is addressed to this server.
func (s *Server) recordArrival(id string, faults Faults, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Arrival{Request: id, At: time.Now(), StartedMs: s.startedMs, Refused: refused, Limit: faults.Limit, Draining: faults.Draining, Brittle: faults.Brittle}
	if faults.RejectRequests {
		a.RetryAfter = faults.RetryAfter
	}
	s.arrivals = append(s.arrivals, a)
}

// run executes a request and sends the response that the faults select.
func (s *Server) run(w http.ResponseWriter, r *http.Request, id string, version int64, faults Faults) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client disconnected
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{Request: id, Method: r.Method, Target: r.RequestURI, Body: string(body), Header: r.Header.Clone(), At: time.Now(), Version: version, StartedMs: s.startedMs})
	for entry := range strings.SplitSeq(r.Header.Get("X-Prefix-Hash"), ",") {
		part, size, _ := strings.Cut(entry, ":")
		if tokens, err := strconv.Atoi(size); err == nil {
			s.setPart([2]string{r.Header.Get("X-Cache-Salt"), part}, tokens)
		}
	}
	s.mu.Unlock()
	w.Header().Set("X-Server-Seal", "seal-"+s.cfg.ID)
	switch {
	case faults.CrashOnPart != "" && slices.Contains(sharedParts(r), faults.CrashOnPart):
		s.cfg.Crash()
		panic(http.ErrAbortHandler)
	case faults.CrashOnSuffix != "" && strings.HasSuffix(r.URL.Path, faults.CrashOnSuffix):
		s.cfg.Crash()
		panic(http.ErrAbortHandler)
	case faults.Endless != NotEndless:
		s.serveEndless(w, &faults, id)
	case faults.LongOnSuffix != "" && strings.HasSuffix(r.URL.Path, faults.LongOnSuffix):
		w.Header().Set("Content-Length", strconv.Itoa(LongBytes))
		_, _ = w.Write(make([]byte, LongBytes)) // fails only if the client has disconnected
	case faults.BrokenHead > 0:
		s.serveBrokenHead(w, faults.BrokenHead, id)
	case faults.Raw != "":
		serveRaw(w, faults.Raw)
	case faults.Hang:
		<-r.Context().Done()
		s.recordAbandoned()
	case faults.LoseResponse:
		panic(http.ErrAbortHandler)
	case faults.UnconfirmedError:
		w.WriteHeader(http.StatusServiceUnavailable)
	case faults.ResponseOfOtherBefore || faults.ResponseOfOtherAfter:
		s.writeTwoResponses(w, id, faults)
	case s.cfg.Model != "" && faults.Unframed:
		s.streamUnframed(w, r, id, faults)
	case s.cfg.Model != "" && faults.Status == 0:
		w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
		s.stream(w, r, faults)
	default:
		w.WriteHeader(max(faults.Status, http.StatusOK))
		fmt.Fprintf(w, plainFormat, s.cfg.ID, id)
	}
}

// sharedParts returns the ids of the parts of a request's prompt but the last.
func sharedParts(r *http.Request) (ids []string) {
	entries := strings.Split(r.Header.Get("X-Prefix-Hash"), ",")
	for _, entry := range entries[:len(entries)-1] {
		id, _, _ := strings.Cut(entry, ":")
		ids = append(ids, id)
	}
	return ids
}

// writeTwoResponses writes two raw responses, one of which belongs to another request. The last
// one announces that the connection is closed: a request sent while the connection closes without
// notice could be neither answered nor retried.
func (s *Server) writeTwoResponses(w http.ResponseWriter, id string, faults Faults) {
	own := s.rawResponse(id, fmt.Sprintf(plainFormat, s.cfg.ID, id), faults.ResponseOfOtherBefore, faults)
	other := s.rawResponse("another", "an answer to another request", faults.ResponseOfOtherAfter, faults)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the servers of this package support Hijack
	}
	defer conn.Close()
	if faults.ResponseOfOtherBefore {
		own = other + own
	} else {
		own += other
	}
	_, _ = io.WriteString(conn, own) // fails only if the client has disconnected
}

func (s *Server) rawResponse(id, body string, last bool, faults Faults) string {
	closing := ""
	if last {
		closing = "Connection: close\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n%s%sContent-Length: %d\r\n\r\n%s", id, s.cfg.ID, closing, faults.signalLines(), len(body), body)
}

// Formats of an event with a given number.
const (
	plainFormat          = "%s answers %s" // server and request
	eventFormat          = "id: %d\ndata: piece %d\n\n"
	truncatedEventFormat = "id: %d\ndata: bro"
)

// streamUnframed writes a raw response without a length and closes the connection gracefully at
// the end, even if the end is within an event.
func (s *Server) streamUnframed(w http.ResponseWriter, r *http.Request, id string, faults Faults) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the servers of this package support Hijack
	}
	defer conn.Close()
	var answer strings.Builder
	fmt.Fprintf(&answer, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n%sContent-Type: text/event-stream\r\n\r\n", id, s.cfg.ID, faults.signalLines())
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent means 0
	for i := last + 1; i <= s.cfg.StreamEvents; i++ {
		if faults.CutAfter != 0 && i > faults.CutAfter {
			fmt.Fprintf(&answer, truncatedEventFormat, i)
			break
		}
		fmt.Fprintf(&answer, eventFormat, i, i)
	}
	_, _ = io.WriteString(conn, answer.String()) // fails only if the client has disconnected
}

// stream writes events with ids from 1, or after Last-Event-Id if the client sends one.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, faults Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent means 0
	for i := last + 1; i <= s.cfg.StreamEvents; i++ {
		if faults.CutAfter != 0 && i > faults.CutAfter {
			fmt.Fprintf(w, truncatedEventFormat, i)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, eventFormat, i, i)
		if control.Flush() != nil {
			s.recordAbandoned()
			return
		}
		select {
		case <-r.Context().Done():
			s.recordAbandoned()
			return
		case <-time.After(s.cfg.EventInterval):
		}
	}
}

func (s *Server) recordAbandoned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned++
}
