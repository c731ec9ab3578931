// Package modelserver is a stand-in of the users' servers: model servers, which
// answer prompts by streams of events, and plain ones, which answer at once.
//
// It speaks the headers of the published protocol, keeps prompt parts by salt and
// id, takes orders to load weights, and has faults that tests switch.
package modelserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Faults are switched by tests.
type Faults struct {
	Shed bool // requests are refused as not run
	// Rest is what refusals of Shed ask for, in seconds; empty for nothing.
	Rest       string
	LoseAnswer bool // requests run, and the connection is closed without an answer
	// CutAfter closes a stream after so many events, within the next one; -1 within the first.
	CutAfter int
	// Foreign sends an answer to another request before the own one.
	Foreign bool
	// Extra sends a second answer after the own one.
	Extra bool
	// Unproven answers 503 without saying that the request did not run.
	Unproven bool
	Status   int // of an answer; 0 means 200
	Hang     bool
	// Unframed sends a stream without a length, which ends with its connection.
	Unframed bool
	// LateOrders leaves orders unanswered and carries them out so much later; 0 means at once.
	LateOrders time.Duration
	// HoldOrders leaves orders without an answer and carries them out at ReleaseOrders.
	HoldOrders bool
	// Limit is the number of requests in a second that the server says it takes from all nodes together;
	// empty for none.
	Limit string
	// Leaving is what the server says of whether it leaves; empty for nothing.
	Leaving string
	// EndOn is the end of a path. A request for such a path ends the server that begins to run it.
	EndOn string
}

// Config sizes a server.
type Config struct {
	ID      string
	Service string
	Zone    string
	Model   string // empty for a plain server
	Pieces  int    // events of a stream
	Gap     time.Duration
	// End ends the server: nothing listens at its address any more, and its connections are cut.
	End func()
}

// Run is one request that the server ran.
type Run struct {
	Request string // its id
	Method  string
	Target  string
	Body    string
	Header  http.Header
	At      time.Time // its begin
	Version int64     // of the weights when it began
	Born    int64     // start of the server, Unix milliseconds
}

// Arrival is one request that reached the server and was meant for it, run or refused, with what the server said
// of itself in its answer.
type Arrival struct {
	Request string // its id
	At      time.Time
	Born    int64 // start of the server, Unix milliseconds
	Refused bool
	// Limit, Leaving and Rest are as in Faults.
	Limit, Leaving, Rest string
}

// ColdStart is how long a server is cold after it has started again.
const ColdStart = 3 * time.Second

// Server is the service. It is safe for concurrent use.
type Server struct {
	cfg Config

	mu     sync.Mutex
	faults Faults
	born   int64 // Unix milliseconds of its start
	// restarted is true where it has started anew since.
	restarted bool
	epoch     int64 // of its events
	version   int64
	orders    int64
	fence     int64
	held      []order // orders to carry out later
	runs      []Run
	arrivals  []Arrival
	left      int // requests whose client left
	parts     map[[2]string]int
	events    [][]any
}

// New returns a server with version 1 of its model.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, born: time.Now().UnixMilli(), epoch: 1, version: 1, parts: make(map[[2]string]int)}
}

// ID returns the server's id.
func (s *Server) ID() string { return s.cfg.ID }

// Restart has the server start anew under its id: it holds and knows nothing of before but the
// version of its weights. What tests have noted of it stays, and so do held orders, which are on
// their way.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born, s.restarted = max(time.Now().UnixMilli(), s.born+1), true
	s.epoch++
	s.orders, s.fence = 0, 0
	s.parts = make(map[[2]string]int)
	s.events = nil
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the requests that the server ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Arrivals returns the requests that reached the server and were meant for it.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Left returns the number of requests whose client left before the end.
func (s *Server) Left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// Version returns the version of the weights.
func (s *Server) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Entry returns the server's entry in the registry.
func (s *Server) Entry(addr, state string) []byte {
	entry := map[string]any{"service": s.cfg.Service, "address": addr, "zone": s.cfg.Zone, "version": "v1", "slots": 8, "state": state, "cold-left-ms": s.coldLeft().Milliseconds(), "seq": 1, "born": s.Born()}
	if s.cfg.Model != "" {
		entry["models"] = s.models()
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

// coldLeft returns how much longer the server is cold after a restart.
func (s *Server) coldLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.restarted {
		return 0
	}
	return max(ColdStart-time.Since(time.UnixMilli(s.born)), 0)
}

// Born returns the start of the server in Unix milliseconds.
func (s *Server) Born() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}

func (s *Server) models() []map[string]any {
	return []map[string]any{{"name": s.cfg.Model, "version": s.Version(), "adapters": []string{}}}
}

// Handler serves the protocol.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", s.serveReport)
	mux.HandleFunc("POST /-/order", s.serveOrder)
	mux.HandleFunc("GET /-/kv-events", s.serveEvents)
	mux.HandleFunc("POST /-/kv-free", s.serveFree)
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	orders, born := s.orders, s.born
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"born": born, "stage": "read_write", "models": s.models(), "busy": false, "seq": orders, "queued": 0, "active": 0})
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	events := append([][]any{}, s.events[min(since, len(s.events)):]...)
	next, epoch, born := len(s.events), s.epoch, s.born
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"born": born, "boot-epoch": epoch, "next": next, "has-gap": false, "events": events, "clock_ms": time.Now().UnixMilli()})
}

func (s *Server) serveFree(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Parts [][2]string `json:"parts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range request.Parts {
		s.set(part, 0)
	}
}

// Keep puts a part into the server's memory.
func (s *Server) Keep(salt, id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set([2]string{salt, id}, tokens)
}

// Kept returns the number of parts that the server keeps.
func (s *Server) Kept() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.parts)
}

// set changes what is kept of a part. s.mu is held.
func (s *Server) set(part [2]string, tokens int) {
	if s.parts[part] == tokens {
		return
	}
	sign := "+"
	s.parts[part] = tokens
	if tokens == 0 {
		sign = "-"
		delete(s.parts, part)
	}
	s.events = append(s.events, []any{len(s.events), sign, part[0], part[1], tokens, s.cfg.Model})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a reader that has gone needs no answer
}
