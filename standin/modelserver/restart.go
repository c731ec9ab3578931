package modelserver

import "time"

// Restart starts the server again under its id: it keeps the weights that it had, and
// knows nothing else. Connections go on; their owner breaks them off. Runs are kept, as
// they belong to the test.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born = max(time.Now().UnixMilli(), s.born+1)
	s.orders, s.fence = 0, 0
	s.parts, s.events = make(map[[2]string]int), nil
}

// start returns the time of the server's start, in Unix milliseconds.
func (s *Server) start() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}
