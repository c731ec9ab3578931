// Package modelserver is a stand-in for the users' servers: model servers, which respond to
// prompts with streams of events, and plain servers, which respond with a single body.
//
// It implements the headers of the published protocol, a cache of prompt parts by salt and id, and
// orders to load weights. Tests can inject faults.
package modelserver

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// LongBytes is the length of the response to a request with the suffix Faults.LongOnSuffix.
const LongBytes = 1 << 20

// Config configures a server.
type Config struct {
	ID            string
	Service       string
	Zone          string
	Release       string        // version of the server's software; empty for "v1"
	Model         string        // empty for a plain server
	StreamEvents  int           // number of events of a stream
	EventInterval time.Duration // between events
	// Loads is the source of weights; nil loads them immediately.
	Loads *Loads
	// Crash crashes the server: it stops its listener and closes its connections.
	Crash func()
}

// Run is one request that the server ran.
type Run struct {
	Request   string // request id
	Method    string
	Target    string
	Body      string
	Header    http.Header
	At        time.Time // start of the run
	Version   int64     // of the weights at the start
	StartedMs int64     // start time of the server, Unix milliseconds
}

// Arrival is a request that reached the server and was addressed to it, whether it ran or was
// rejected, with the state that the server reported in the response.
type Arrival struct {
	Request   string // request id
	At        time.Time
	StartedMs int64 // start time of the server, Unix milliseconds
	Refused   bool
	// Limit, Draining, RetryAfter and Brittle have the same meaning as in Faults.
	Limit, Draining, RetryAfter, Brittle string
}

// ColdStart is the time for which a server is cold after a restart.
const ColdStart = 3 * time.Second

// Server is one server. It is safe for concurrent use.
type Server struct {
	cfg Config

	mu        sync.Mutex
	faults    Faults
	startedMs int64 // start time, Unix milliseconds
	// restarted is true after Restart.
	restarted  bool
	epoch      int64 // changes with each restart
	current    *incarnation
	version    int64
	orders     int64
	highToken  int64
	heldOrders []order // queued by HoldOrders
	runs       []Run
	arrivals   []Arrival
	abandoned  int // requests whose client disconnected
	parts      map[[2]string]int
	events     [][]any

	endlessBytes atomic.Int64 // written in endless forms
}

// New returns a server whose weights have version 1.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, startedMs: time.Now().UnixMilli(), epoch: 1, current: &incarnation{}, version: 1, parts: make(map[[2]string]int)}
}

// ID returns the server's id.
func (s *Server) ID() string { return s.cfg.ID }

// Release returns the version of the server's software.
func (s *Server) Release() string { return cmp.Or(s.cfg.Release, "v1") }

// Restart restarts the server under the same id. It loses all state except the version of its
// weights; a load in progress ends. The recorded runs and arrivals stay, and so do held orders, which count as in transit.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedMs, s.restarted = max(time.Now().UnixMilli(), s.startedMs+1), true
	s.epoch++
	s.current = &incarnation{}
	s.orders, s.highToken = 0, 0
	s.parts = make(map[[2]string]int)
	s.events = nil
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the requests that ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Arrivals returns the requests that reached the server and were addressed to it.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// AbandonedRequests returns the number of requests whose client disconnected before the end.
func (s *Server) AbandonedRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandoned
}

// Entry returns the server's registry entry for an address and state.
func (s *Server) Entry(addr, state string) []byte {
	entry := map[string]any{"service": s.cfg.Service, "address": addr, "zone": s.cfg.Zone, "version": s.Release(), "slots": 8, "state": state, "cold-left-ms": s.coldLeft().Milliseconds(), "seq": 1, "born": s.StartedMs()}
	if s.cfg.Model != "" {
		entry["models"] = s.models()
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // can't fail for strings and numbers
	}
	return data
}

// coldLeft returns the remaining time for which the server is cold after a restart.
func (s *Server) coldLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.restarted {
		return 0
	}
	return max(ColdStart-time.Since(time.UnixMilli(s.startedMs)), 0)
}

// StartedMs returns the start time of the server in Unix milliseconds.
func (s *Server) StartedMs() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedMs
}

func (s *Server) models() []map[string]any {
	return []map[string]any{{"name": s.cfg.Model, "version": s.Version(), "adapters": []string{}}}
}

// Handler returns a handler for the protocol.
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
	orders, startedMs, busy := s.orders, s.startedMs, s.isBusy()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"born": startedMs, "stage": "read_write", "models": s.models(), "busy": busy, "seq": orders, "queued": 0, "active": 0})
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	events := append([][]any{}, s.events[min(since, len(s.events)):]...)
	next, epoch, startedMs := len(s.events), s.epoch, s.startedMs
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"born": startedMs, "boot-epoch": epoch, "next": next, "has-gap": false, "events": events, "clock_ms": time.Now().UnixMilli()})
}

func (s *Server) serveFree(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Parts   [][2]string `json:"parts"`
		Epoch   *int64      `json:"boot-epoch"`
		UntilMS *int64      `json:"until_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Epoch != nil && *request.Epoch != s.epoch || request.UntilMS != nil && *request.UntilMS < time.Now().UnixMilli() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	for _, part := range request.Parts {
		s.setPart(part, 0)
	}
}

// StorePart adds a part to the server's cache.
func (s *Server) StorePart(salt, id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setPart([2]string{salt, id}, tokens)
}

// CachedParts returns the number of cached parts.
func (s *Server) CachedParts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.parts)
}

// setPart sets the number of cached tokens of a part and records an event. s.mu is held.
func (s *Server) setPart(part [2]string, tokens int) {
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
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
