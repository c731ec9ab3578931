package modelserver

import (
	"sync/atomic"
	"time"
)

const (
	// loadSteps is the number of steps in which weights are loaded at full speed. The speed is that
	// of the loads in progress at the beginning of a step.
	loadSteps = 20
	// switchRetain is the mode of an order that lets runs go on under the new weights. In all other
	// modes, runs finish before the load begins.
	switchRetain = "retain"
)

// Loads is the source of weights that several servers share. It is safe for concurrent use.
type Loads struct {
	// Time is the duration of a load while at most AtOnce servers load; 0 loads immediately.
	Time time.Duration
	// AtOnce is the number of loads at full speed. More loads share that rate; 0 means any number.
	AtOnce int

	active atomic.Int64
}

// step waits for one step of a load and returns the share of the load that it did.
func (l *Loads) step() float64 {
	share := 1.0
	if active := l.active.Load(); l.AtOnce > 0 && active > int64(l.AtOnce) {
		share = float64(l.AtOnce) / float64(active)
	}
	time.Sleep(l.Time / loadSteps)
	return share / loadSteps
}

// wait waits for a load.
func (l *Loads) wait() {
	l.active.Add(1)
	defer l.active.Add(-1)
	const rounding = 1e-9
	for done := 0.0; done < 1-rounding; {
		done += l.step()
	}
}

// incarnation is the state that a start of the server begins with and that ends with the process.
type incarnation struct {
	running int  // requests that run
	loading bool // an order is in progress
}

// isBusy reports whether an order is in progress. s.mu is held.
func (s *Server) isBusy() bool { return s.current.loading }

// load changes the weights once the load is complete, unless the server was restarted before.
func (s *Server) load(in *incarnation, o *order) {
	for o.Switch != switchRetain && !s.hasFinished(in) {
		time.Sleep(s.cfg.Loads.Time / loadSteps)
	}
	s.cfg.Loads.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != in {
		return
	}
	in.loading = false
	s.setVersion(o.Version)
}

// hasFinished reports whether no request of an incarnation runs any more.
func (s *Server) hasFinished(in *incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return in.running == 0 || s.current != in
}

// Zone returns the server's failure domain.
func (s *Server) Zone() string { return s.cfg.Zone }

// Version returns the version of the weights.
func (s *Server) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// setVersion changes the weights, which discards the cached parts. s.mu is held.
func (s *Server) setVersion(version int64) {
	s.version = version
	clear(s.parts)
}

// begin admits a request and returns the version of the weights that it runs on, and the function
// that ends it, which is nil if the weights that the request needs are being loaded.
func (s *Server) begin(model string) (version int64, end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := s.current
	if s.isBusy() && model != "" {
		return s.version, nil
	}
	in.running++
	return s.version, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		in.running--
	}
}
