package site

import "net/http"

// Restart has the i-th model server crash, which cuts its connections, and start again under its
// id, as modelserver.Server.Restart says. It comes back at the address that it had, or at another
// one where moves is true. Nothing but its next entry tells.
func (s *Site) Restart(i int, moves bool) error {
	server := s.servers[i]
	server.mu.Lock()
	defer server.mu.Unlock()
	before := server.at
	before.close()
	server.Restart()
	at, err := s.listenAgain(before, moves, server.Handler())
	if err != nil {
		return err
	}
	server.at = at
	server.state = stateReady
	return nil
}

func (s *Site) listenAgain(before listener, moves bool, h http.Handler) (listener, error) {
	if moves {
		return s.listen(h)
	}
	at, err := s.serve(before.own, h)
	at.addr = before.addr
	return at, err
}
