package site

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// While a server is away, the system may give its port to a connection of another process. It is
// waited for so long, looking so often.
const (
	portTime  = 20 * time.Second
	portPause = 20 * time.Millisecond
)

// end has the server crash: it says nothing more, and its entry stays until it starts again.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = ""
	s.at.close()
}

// Up reports whether the i-th model server is there.
func (s *Site) Up(i int) bool {
	s.servers[i].mu.Lock()
	defer s.servers[i].mu.Unlock()
	return s.servers[i].state == stateReady
}

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
	l, err := ListenAgain(before.own)
	if err != nil {
		return listener{}, err
	}
	at := s.serve(l, h)
	at.addr = before.addr
	return at, nil
}

// ListenAgain listens at an address that was listened at before.
func ListenAgain(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	for limit := time.Now().Add(portTime); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(limit); {
		time.Sleep(portPause)
		l, err = net.Listen("tcp", addr)
	}
	return l, err
}
