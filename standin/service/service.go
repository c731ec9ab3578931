// Package service is a stand-in for a plain HTTP service with calls that must not be retried. It
// counts the executions of each call and returns the count.
//
// It serves all paths and methods. Executions are counted per method, path and body id, so a call
// that was executed twice has a count of 2.
package service

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cherryward/cherryward/standin/fault"
)

// HeaderBodyID is the header in which a caller sends the id of a body.
const HeaderBodyID = "X-Body-ID"

// PathExecutions is the resource of all counts, a JSON array of Execution.
const PathExecutions = "/executions"

const maxBodyBytes = 64 << 20

// Config configures the service.
type Config struct {
	// ExecuteTime is the duration of each execution.
	ExecuteTime time.Duration
}

// Faults are the faults that can be injected.
type Faults struct {
	fault.Process
	// LoseResponses drops the connection of each call after its execution.
	LoseResponses bool `json:"lose_answers"`
	// FailBefore rejects calls with status 503 without executing them.
	FailBefore bool `json:"fail_before"`
}

var _ fault.Set = Faults{}

// Call identifies a call. Retries of a call have equal values.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	BodyID string `json:"body_id"`
}

func compareCalls(a, b Call) int {
	return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Method, b.Method), cmp.Compare(a.BodyID, b.BodyID))
}

// Execution is the number of times that a call was executed.
type Execution struct {
	Call
	Count int `json:"count"`
}

// Answer is the body of each response. Execution is 1 for the first execution of the call; Bytes
// and SHA256 (hex) are the length and hash of the request body.
type Answer struct {
	Call
	Execution int    `json:"execution"`
	Bytes     int    `json:"bytes"`
	SHA256    string `json:"sha256"`
}

// Service is one service host. It is safe for concurrent use.
type Service struct {
	// Faults holds the active faults.
	Faults fault.Switch[Faults]
	cfg    Config
	closed chan struct{}
	once   sync.Once
	mu     sync.Mutex
	counts map[Call]int
}

// New returns a service without executions.
func New(cfg Config) *Service {
	return &Service{cfg: cfg, closed: make(chan struct{}), counts: make(map[Call]int)}
}

// Close drops the calls in progress.
func (s *Service) Close() { s.once.Do(func() { close(s.closed) }) }

// Handler returns a handler for all paths. PathExecutions and fault.Path are reserved.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathExecutions, s.list)
	mux.HandleFunc("/", s.execute)
	return s.Faults.Gate(mux)
}

// Executions returns the counts in order of path, method and body id.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Execution, 0, len(s.counts))
	for _, call := range slices.SortedFunc(maps.Keys(s.counts), compareCalls) {
		out = append(out, Execution{call, s.counts[call]})
	}
	return out
}

func (s *Service) list(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, http.StatusOK, s.Executions())
}

// execute executes a call once its body is complete. A call with a truncated body is not
// executed.
func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.Faults.Get().FailBefore {
		http.Error(w, "not executed", http.StatusServiceUnavailable)
		return
	}
	answer := s.count(Call{r.Method, r.URL.Path, r.Header.Get(HeaderBodyID)}, body)
	if !fault.Sleep(s.closed, s.cfg.ExecuteTime) || !s.Faults.Wait(r.Context().Done()) {
		fault.Drop()
	}
	if s.Faults.Get().LoseResponses {
		fault.Drop()
	}
	fault.WriteJSON(w, http.StatusOK, answer)
}

func (s *Service) count(call Call, body []byte) Answer {
	sum := sha256.Sum256(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[call]++
	return Answer{Call: call, Execution: s.counts[call], Bytes: len(body), SHA256: hex.EncodeToString(sum[:])}
}
