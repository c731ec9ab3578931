// Package site is a stand-in of a whole deployment of the users' platform on
// loopback: its metadata store, three model servers, a plain server, a store of KV
// cache, and the operator who configures them.
package site

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cherryward/cherryward/standin/metastore"
	"github.com/cherryward/cherryward/standin/modelserver"
)

const (
	// Host and the paths are those of the configured routes.
	Host        = "office.example"
	PathSummary = "/summary/" // streams, not resumable
	PathQuery   = "/query/"   // streams, resumable
	PathLookup  = "/lookup/"  // idempotent
	PathUpload  = "/upload/"  // not idempotent

	// Model is the name of the served model, Account that of the client account.
	Model   = "reader"
	Account = "yard"

	// Pieces is the number of events of a whole stream.
	Pieces = 8

	models     = 3
	headerTime = 5 * time.Second

	registry = "keyed.servers" // the topic of the servers' entries

	stateReady    = "ready"
	stateDraining = "draining"
)

// Config sizes a site.
type Config struct {
	Beat time.Duration // between the servers' entries in the registry
	Gap  time.Duration // between the events of a stream
	// IP is where all stand-ins and nodes listen; empty for 127.0.0.1. Sites with an address each on the
	// same host don't get one another's ports.
	IP string
	// Proxy returns the address that others are told in place of a stand-in's own;
	// nil leaves them.
	Proxy func(addr string) (string, error)
	// Ended is told that the i-th model server ends, before its connections are cut. Nil for nothing.
	Ended func(i int)
}

// Site is a running deployment.
type Site struct {
	Store  *metastore.Store
	Models []*modelserver.Server
	Plain  *modelserver.Server
	Keep   *modelserver.Server // the store of KV cache
	// Foreign writes to the store when a test has it do so.
	Foreign *Foreign

	ip                  string
	storeAddr, keepAddr string
	servers             []*server
	ctx                 context.Context // ends with Close
	proxy               func(addr string) (string, error)
	ended               func(i int)
	stop                context.CancelFunc
	wg                  sync.WaitGroup
}

// server is a server of the site with its entry in the registry.
type server struct {
	*modelserver.Server
	id string

	mu    sync.Mutex
	at    listener
	state string // empty once it is gone
}

// listener is where a server is reached.
type listener struct {
	own   string // address of the server itself
	addr  string // that others are told
	close func() // cuts all connections
}

// Start starts a site whose servers are registered and which is not configured yet.
func Start(c Config) (*Site, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Site{ip: cmp.Or(c.IP, "127.0.0.1"), Store: metastore.New(), ctx: ctx, stop: cancel, proxy: c.Proxy, ended: c.Ended}
	store, err := s.listen(s.Store.Handler())
	if err != nil {
		return nil, err
	}
	if s.Foreign, err = newForeign(s); err != nil {
		return nil, err
	}
	s.Keep = modelserver.New(modelserver.Config{ID: "keep"})
	keep, err := s.listen(s.Keep.Handler())
	if err != nil {
		return nil, err
	}
	s.storeAddr, s.keepAddr = store.addr, keep.addr
	for i := range models {
		cfg := modelserver.Config{ID: fmt.Sprint("model-", i+1), Service: "models", Zone: zoneOf(i), Model: Model, Pieces: Pieces, Gap: c.Gap}
		added, err := s.add(cfg)
		if err != nil {
			return nil, err
		}
		s.Models = append(s.Models, added)
	}
	if s.Plain, err = s.add(modelserver.Config{ID: "plain-1", Service: "plain", Zone: "north"}); err != nil {
		return nil, err
	}
	s.register()
	s.wg.Go(func() { s.beat(ctx, c.Beat) })
	return s, nil
}

func (s *Site) add(cfg modelserver.Config) (*modelserver.Server, error) {
	added := &server{id: cfg.ID, state: stateReady}
	i := len(s.servers)
	cfg.End = func() {
		if s.ended != nil {
			s.ended(i)
		}
		added.end()
	}
	added.Server = modelserver.New(cfg)
	at, err := s.listen(added.Handler())
	if err != nil {
		return nil, err
	}
	added.at = at
	s.servers = append(s.servers, added)
	return added.Server, nil
}

// listen serves at a port of its own, which others reach by the proxy.
func (s *Site) listen(h http.Handler) (listener, error) {
	at, err := s.serveAnew(h)
	if err == nil && s.proxy != nil {
		at.addr, err = s.proxy(at.own)
	}
	return at, err
}

// serveAnew serves at a port that nobody has.
func (s *Site) serveAnew(h http.Handler) (listener, error) {
	l, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		return listener{}, err
	}
	return s.serve(l, h), nil
}

// serve serves at an address until it is closed, or the site is.
func (s *Site) serve(l net.Listener, h http.Handler) listener {
	served := &http.Server{Handler: h, ReadHeaderTimeout: headerTime}
	s.wg.Go(func() { _ = served.Serve(l) }) // ends with Close
	context.AfterFunc(s.ctx, func() { _ = served.Close() })
	own := l.Addr().String()
	return listener{own: own, addr: own, close: func() { _ = served.Close() }}
}

// Close stops all stand-ins.
func (s *Site) Close() {
	s.stop()
	s.wg.Wait()
}

// beat writes the servers' entries until ctx is done.
func (s *Site) beat(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.register()
		}
	}
}

// register writes the entry of each server that is there.
func (s *Site) register() {
	for _, server := range s.servers {
		server.mu.Lock()
		if server.state != "" {
			s.Store.Put(registry, server.id, server.Entry(server.at.addr, server.state))
		}
		server.mu.Unlock()
	}
}

// Drain has the i-th model server report that it leaves.
func (s *Site) Drain(i int) { s.setState(i, stateDraining) }

// Remove takes the i-th model server's entry away.
func (s *Site) Remove(i int) {
	s.setState(i, "")
	s.Store.Put(registry, s.servers[i].id, nil)
}

func (s *Site) setState(i int, state string) {
	s.servers[i].mu.Lock()
	defer s.servers[i].mu.Unlock()
	s.servers[i].state = state
}

// Request returns a client's request to a node. session is the shared part of a
// prompt; empty for plain requests.
func Request(ctx context.Context, node, method, path, key, id, session string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, nil)
	if err != nil {
		return nil, err
	}
	req.Host = Host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "8000")
	if session != "" {
		req.Header.Set("X-Model", Model)
		req.Header.Set("X-Token-Usage", "3400,48")
		req.Header.Set("X-Prefix-Hash", fmt.Sprintf("c0ffee:400,%s:2000,%s:1000", session, id))
	}
	return req, nil
}
