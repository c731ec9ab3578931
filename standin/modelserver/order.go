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
	Switch   string `json:"switch-mode"`
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
		s.heldOrders = append(s.heldOrders, o)
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	case late > 0:
		s.mu.Unlock()
		time.AfterFunc(late, func() { s.executeLate(&o) })
		panic(http.ErrAbortHandler)
	}
	status := s.execute(&o)
	s.mu.Unlock()
	w.WriteHeader(status)
}

func (s *Server) executeLate(o *order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.execute(o) // the status is not sent
}

// execute begins to load the weights if the order is valid in the current state, and returns the
// HTTP status. s.mu is held.
func (s *Server) execute(o *order) int {
	switch {
	case o.Token < s.highToken:
		return http.StatusPreconditionFailed
	case s.isBusy() || o.Expected != nil && *o.Expected != s.orders:
		return http.StatusConflict
	case o.Version == s.version:
		return http.StatusOK
	}
	s.highToken = o.Token
	s.orders++
	if s.cfg.Loads == nil || s.cfg.Loads.Time == 0 {
		s.setVersion(o.Version)
		return http.StatusAccepted
	}
	s.current.loading = true
	go s.load(s.current, o)
	return http.StatusAccepted
}

// HeldOrders returns the number of queued orders.
func (s *Server) HeldOrders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.heldOrders)
}

// ReleaseOrders executes the first queued order and discards the others. It returns the HTTP
// status of the order, or 0 if none was queued.
func (s *Server) ReleaseOrders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.heldOrders) == 0 {
		return 0
	}
	first := s.heldOrders[0]
	s.heldOrders = nil
	return s.execute(&first)
}
