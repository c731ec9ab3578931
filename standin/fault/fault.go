// Package fault injects faults into a stand-in while it is running.
//
// A Switch holds a typed set of faults. Changes are atomic: a change applies to the next request
// and wakes every request that waits on Changed.
package fault

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Path is the HTTP resource at which each stand-in returns (GET) and changes (POST) its faults.
// It works regardless of the active faults.
const Path = "/fault"

// Process holds the faults that all stand-ins have in common.
type Process struct {
	Dead    bool  `json:"dead"`     // drop all connections and new requests
	Frozen  bool  `json:"frozen"`   // block all requests until reset
	DelayMS int64 `json:"delay_ms"` // delay before each request, milliseconds
}

// Set is a typed set of faults.
type Set interface{ Common() Process }

// Common implements Set, also for structs that embed Process.
func (p Process) Common() Process { return p }

var _ Set = Process{}

// Switch holds the active faults. The zero value has none.
type Switch[F Set] struct {
	current atomic.Pointer[F]
	mu      sync.Mutex // serializes changes
	changed chan struct{}
}

// Get returns the active faults.
func (s *Switch[F]) Get() F {
	if current := s.current.Load(); current != nil {
		return *current
	}
	var none F
	return none
}

// Set replaces all faults. Set(F{}) turns all faults off.
func (s *Switch[F]) Set(f F) { s.Update(func(current *F) { *current = f }) }

// Update applies change to the active faults.
func (s *Switch[F]) Update(change func(*F)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.Get()
	change(&next)
	s.current.Store(&next)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Changed returns a channel that is closed by the next change.
func (s *Switch[F]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// ServeHTTP returns the faults as JSON. A POST changes the fields that its JSON body contains and
// leaves the others; unknown fields are rejected with status 400.
func (s *Switch[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		next := s.Get()
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&next); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(next)
	}
	WriteJSON(w, http.StatusOK, s.Get())
}

// Wait blocks while the process is frozen. It returns false if the process is dead or done is
// closed.
func (s *Switch[F]) Wait(done <-chan struct{}) bool {
	for {
		changed := s.Changed()
		p := s.Get().Common()
		if p.Dead {
			return false
		}
		if !p.Frozen {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// Action is a one-time fault, triggered by a POST to Path/Name. An error of Do results in status
// 400.
type Action struct {
	Name string
	Do   func(query url.Values) error
}

// ActionOf returns an Action for a function that can't fail.
func ActionOf(name string, do func()) Action {
	return Action{name, func(url.Values) error { do(); return nil }}
}

func (a Action) serve(w http.ResponseWriter, r *http.Request) {
	if err := a.Do(r.URL.Query()); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Gate returns a handler that serves the faults and actions at Path, and applies the Process
// faults to all other requests before it passes them to next.
func (s *Switch[F]) Gate(next http.Handler, actions ...Action) http.Handler {
	control := http.NewServeMux()
	control.Handle(Path, s)
	for _, a := range actions {
		control.HandleFunc("POST "+Path+"/"+a.Name, a.serve)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path || strings.HasPrefix(r.URL.Path, Path+"/") {
			control.ServeHTTP(w, r)
			return
		}
		if !s.Wait(r.Context().Done()) {
			Drop()
		}
		if d := s.Get().Common().DelayMS; d > 0 {
			Sleep(r.Context().Done(), time.Duration(d)*time.Millisecond)
		}
		next.ServeHTTP(w, r)
	})
}

// Drop aborts the connection of the current request.
func Drop() { panic(http.ErrAbortHandler) }

// Sleep waits until d has elapsed or done is closed. It returns true if d has elapsed.
func Sleep(done <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

// WriteJSON writes a response with the status and v as JSON.
func WriteJSON[T any](w http.ResponseWriter, status int, v T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
