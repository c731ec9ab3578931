package modelserver

import (
	"encoding/json"
	"net/http"
	"time"
)

// order is an order to load weights.
type order struct {
	Version  int64  `json:"version"`
	Holder   string `json:"holder"`
	Token    int64  `json:"fencing-token"`
	Expected *int64 `json:"expected"`
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	late := s.faults.LateOrders
	switch {
	case s.faults.HoldOrders:
		s.held = append(s.held, o)
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	case late > 0:
		s.mu.Unlock()
		time.AfterFunc(late, func() { s.carryOutLate(&o) })
		panic(http.ErrAbortHandler)
	}
	status := s.carryOut(&o)
	s.mu.Unlock()
	w.WriteHeader(status)
}

func (s *Server) carryOutLate(o *order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carryOut(o) // nobody waits for its status
}

// carryOut loads the weights, if the order holds now, and returns its status. s.mu is held.
func (s *Server) carryOut(o *order) int {
	switch {
	case o.Token < s.fence:
		return http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != s.orders:
		return http.StatusConflict
	case o.Version == s.version:
		return http.StatusOK
	}
	s.fence = o.Token
	s.orders++
	s.version = o.Version
	clear(s.parts)
	return http.StatusAccepted
}

// HeldOrders returns the number of orders that wait to be carried out.
func (s *Server) HeldOrders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// ReleaseOrders carries out the first order that was held, and drops the others. It returns the
// status that it came to, 0 where none was held.
func (s *Server) ReleaseOrders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.held) == 0 {
		return 0
	}
	first := s.held[0]
	s.held = nil
	return s.carryOut(&first)
}
