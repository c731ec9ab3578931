package site

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// While a server is down, the operating system may assign its port to a connection of another
// process. Listening is retried at this interval until the timeout.
const (
	portTimeout       = 20 * time.Second
	portRetryInterval = 20 * time.Millisecond
)

// crash closes the server's listener and connections. Its registry entry stays.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = ""
	s.at.close()
}

// IsRunning reports whether the i-th model server is running.
func (s *Site) IsRunning(i int) bool {
	s.models[i].mu.Lock()
	defer s.models[i].mu.Unlock()
	return s.models[i].state == stateReady
}

// Restore makes the metadata store return to its copy, in the given era. The servers' entries are written
// again, and those of removed servers removed again.
func (s *Site) Restore(era string) {
	s.Store.Restore(era)
	s.serversMu.Lock()
	servers := slices.Clone(s.servers)
	s.serversMu.Unlock()
	for _, server := range servers {
		server.mu.Lock()
		if server.state == "" {
			s.Store.Put(registryTopic, server.id, nil)
		}
		server.mu.Unlock()
	}
	s.register()
}

// Restart crashes the i-th model server, which closes its connections, and restarts it under the
// same id; see modelserver.Server.Restart. It listens at the same address, or at another one if
// moves is true. Only its next registry entry reports the restart.
func (s *Site) Restart(i int, moves bool) error {
	server := s.models[i]
	server.mu.Lock()
	defer server.mu.Unlock()
	previous := server.at
	previous.close()
	server.Restart()
	at, err := s.relisten(previous, moves, server.Handler())
	if err != nil {
		return err
	}
	server.at = at
	server.state = stateReady
	return nil
}

func (s *Site) relisten(previous listener, moves bool, h http.Handler) (listener, error) {
	if moves {
		return s.listen(h)
	}
	l, err := ListenRetry(previous.own)
	if err != nil {
		return listener{}, err
	}
	at := s.serve(l, h)
	at.addr = previous.addr
	return at, nil
}

// ListenRetry listens at an address that was in use before. It retries for up to portTimeout while
// the address is in use by another socket.
func ListenRetry(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	for limit := time.Now().Add(portTimeout); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(limit); {
		time.Sleep(portRetryInterval)
		l, err = net.Listen("tcp", addr)
	}
	return l, err
}
