package modelserver

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	s.mu.Lock()
	faults, version := s.faults, s.version
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
	s.arrive(id, faults)
	if faults.Shed {
		if faults.Rest != "" {
			w.Header().Set("Retry-After", faults.Rest)
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.run(w, r, id, version, faults)
}

// signals returns the headers in which the server tells of itself, in all of its answers.
func (f *Faults) signals() map[string]string {
	headers := make(map[string]string)
	for name, value := range map[string]string{"Server-Limit": f.Limit, "Server-Leaving": f.Leaving} {
		if value != "" {
			headers[name] = value
		}
	}
	return headers
}

// signalLines returns the same as lines of an answer that is written by hand.
func (f *Faults) signalLines() string {
	var lines strings.Builder
	for name, value := range f.signals() {
		fmt.Fprintf(&lines, "%s: %s\r\n", name, value)
	}
	return lines.String()
}

// arrive notes a request that is meant for this server.
func (s *Server) arrive(id string, faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Arrival{Request: id, At: time.Now(), Born: s.born, Refused: faults.Shed, Limit: faults.Limit, Leaving: faults.Leaving}
	if faults.Shed {
		a.Rest = faults.Rest
	}
	s.arrivals = append(s.arrivals, a)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, id string, version int64, faults Faults) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller broke off
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{Request: id, Method: r.Method, Target: r.RequestURI, Body: string(body), Header: r.Header.Clone(), At: time.Now(), Version: version, Born: s.born})
	for entry := range strings.SplitSeq(r.Header.Get("X-Prefix-Hash"), ",") {
		part, size, _ := strings.Cut(entry, ":")
		if tokens, err := strconv.Atoi(size); err == nil {
			s.set([2]string{r.Header.Get("X-Cache-Salt"), part}, tokens)
		}
	}
	s.mu.Unlock()
	w.Header().Set("X-Server-Seal", "seal-"+s.cfg.ID)
	switch {
	case faults.EndOn != "" && strings.HasSuffix(r.URL.Path, faults.EndOn):
		s.cfg.End()
		panic(http.ErrAbortHandler)
	case faults.Hang:
		<-r.Context().Done()
		s.clientLeft()
	case faults.LoseAnswer:
		panic(http.ErrAbortHandler)
	case faults.Unproven:
		w.WriteHeader(http.StatusServiceUnavailable)
	case faults.Foreign || faults.Extra:
		s.answerTwice(w, id, faults)
	case s.cfg.Model != "" && faults.Unframed:
		s.streamUnframed(w, r, id, faults)
	case s.cfg.Model != "" && faults.Status == 0:
		w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
		s.stream(w, r, faults)
	default:
		w.WriteHeader(max(faults.Status, http.StatusOK))
		fmt.Fprintf(w, "%s answers %s", s.cfg.ID, id)
	}
}

// answerTwice writes two answers by hand, one of which belongs to another request. The
// last one says that the connection is closed, which it is: a request that crossed an
// unannounced close could be neither answered nor repeated.
func (s *Server) answerTwice(w http.ResponseWriter, id string, faults Faults) {
	own := s.plainAnswer(id, fmt.Sprintf("%s answers %s", s.cfg.ID, id), faults.Foreign, faults)
	other := s.plainAnswer("another", "an answer to another request", faults.Extra, faults)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // servers of this package always can
	}
	defer conn.Close()
	if faults.Foreign {
		own = other + own
	} else {
		own += other
	}
	_, _ = io.WriteString(conn, own) // a reader that has gone needs no answer
}

func (s *Server) plainAnswer(id, body string, last bool, faults Faults) string {
	closing := ""
	if last {
		closing = "Connection: close\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n%s%sContent-Length: %d\r\n\r\n%s", id, s.cfg.ID, closing, faults.signalLines(), len(body), body)
}

// The formats of an event, by its number.
const (
	wholeEvent  = "id: %d\ndata: piece %d\n\n"
	brokenEvent = "id: %d\ndata: bro"
)

// streamUnframed writes events by hand, without a length, and closes the connection
// properly at the end, also where that comes within an event.
func (s *Server) streamUnframed(w http.ResponseWriter, r *http.Request, id string, faults Faults) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // servers of this package always can
	}
	defer conn.Close()
	var answer strings.Builder
	fmt.Fprintf(&answer, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n%sContent-Type: text/event-stream\r\n\r\n", id, s.cfg.ID, faults.signalLines())
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent means 0
	for i := last + 1; i <= s.cfg.Pieces; i++ {
		if faults.CutAfter != 0 && i > faults.CutAfter {
			fmt.Fprintf(&answer, brokenEvent, i)
			break
		}
		fmt.Fprintf(&answer, wholeEvent, i, i)
	}
	_, _ = io.WriteString(conn, answer.String()) // a reader that has gone needs no answer
}

// stream writes events whose ids rise from 1, or go on after the last one that the
// caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, faults Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent means 0
	for i := last + 1; i <= s.cfg.Pieces; i++ {
		if faults.CutAfter != 0 && i > faults.CutAfter {
			fmt.Fprintf(w, brokenEvent, i)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, wholeEvent, i, i)
		if control.Flush() != nil {
			s.clientLeft()
			return
		}
		select {
		case <-r.Context().Done():
			s.clientLeft()
			return
		case <-time.After(s.cfg.Gap):
		}
	}
}

func (s *Server) clientLeft() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left++
}
