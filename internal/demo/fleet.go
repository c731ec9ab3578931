// Package demo runs a complete small system in one process on loopback: nodes, and simulations of the
// external systems that they use.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/api/wire/hostwire"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/node"
	"github.com/cherryward/cherryward/internal/settings"
	"github.com/cherryward/cherryward/standin/engine"
	"github.com/cherryward/cherryward/standin/hostlist"
	"github.com/cherryward/cherryward/standin/platformlog"
	"github.com/cherryward/cherryward/standin/service"
	"github.com/cherryward/cherryward/standin/store"
)

// Credentials of a fleet, which listens on loopback only.
const (
	PeersKey     = "loopback-peers-key-0123456789abcdef"
	OperatorsKey = "loopback-operators-key"

	loopback      = "127.0.0.1:0"
	headerTimeout = 5 * time.Second
)

// Options configure a fleet.
type Options struct {
	Nodes   int
	Engines []engine.Config
	Stores  []store.Config
	Service service.Config
	Log     zerolog.Logger
	// Adjust, if not nil, changes a node's settings before it starts.
	Adjust func(*settings.Settings)
	// Wrap, if not nil, wraps the handler of each simulated endpoint.
	Wrap func(endpoint string, h http.Handler) http.Handler
}

// domains lists the failure domains over which nodes and endpoints are distributed.
var domains = []string{"north", "east", "south"}

// Fleet is a running system of nodes and simulated external systems.
type Fleet struct {
	Nodes   []*Member
	Engines []*engine.Engine
	Stores  []*store.Store
	Service *service.Service
	Log     *platformlog.Log
	Hosts   *hostlist.List

	EngineURLs []string
	StoreURLs  []string
	ServiceURL string
	LogURL     string
	HostsURL   string

	opts    Options
	closers []func()
	started int
}

// Member is one node of a fleet.
type Member struct {
	*node.Node
	ID      string
	stop    context.CancelFunc
	done    chan error
	once    sync.Once
	stopped atomic.Bool
	err     error
}

// Stop stops the node gracefully and returns the error of its Run.
func (m *Member) Stop() error {
	m.stopped.Store(true)
	m.stop()
	m.once.Do(func() { m.err = <-m.done })
	return m.err
}

// Start starts the simulated external systems and the nodes.
func Start(opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts}
	if err := f.startSimulations(); err != nil {
		f.Close()
		return nil, err
	}
	for range opts.Nodes {
		if _, err := f.AddNode(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startSimulations() error {
	var err error
	f.Log = platformlog.New(platformlog.Config{})
	f.Hosts = hostlist.New(hostlist.Config{})
	f.Service = service.New(f.opts.Service)
	if f.LogURL, err = f.serve(f.Log.Handler()); err != nil {
		return err
	}
	if f.HostsURL, err = f.serve(f.Hosts.Handler()); err != nil {
		return err
	}
	if f.ServiceURL, err = f.serve(f.wrap(Ledger, f.Service.Handler())); err != nil {
		return err
	}
	for _, c := range f.opts.Engines {
		if len(c.Loaded) == 0 {
			c.Loaded = []enginewire.Loaded{{Model: Model, Version: Version}}
		}
		e := engine.New(c)
		f.Engines = append(f.Engines, e)
		url, err := f.serve(f.wrap(fmt.Sprintf("engine-%d", len(f.Engines)), e.Handler()))
		if err != nil {
			return err
		}
		f.EngineURLs = append(f.EngineURLs, url)
	}
	for _, c := range f.opts.Stores {
		s := store.New(c)
		f.Stores = append(f.Stores, s)
		url, err := f.serve(f.wrap(fmt.Sprintf("store-%d", len(f.Stores)), s.Handler()))
		if err != nil {
			return err
		}
		f.StoreURLs = append(f.StoreURLs, url)
	}
	return nil
}

func (f *Fleet) wrap(endpoint string, h http.Handler) http.Handler {
	if f.opts.Wrap == nil {
		return h
	}
	return f.opts.Wrap(endpoint, h)
}

// serve serves a handler on a loopback port and returns its URL.
func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(l) }() // ends with Close
	f.closers = append(f.closers, func() { _ = server.Close() })
	return "http://" + l.Addr().String(), nil
}

// AddNode starts another node and adds it to the host list.
func (f *Fleet) AddNode() (*Member, error) {
	f.started++
	id := fmt.Sprintf("node-%d", f.started)
	domain := domains[f.started%len(domains)]
	s := f.settings(id, domain)
	if f.opts.Adjust != nil {
		f.opts.Adjust(s)
	}
	n, err := node.New(s, f.opts.Log)
	if err != nil {
		return nil, err
	}
	f.Hosts.Set(hostwire.Host{ID: id, Addr: n.PeersAddr(), Domain: domain, State: hostwire.Live, Node: true})
	ctx, cancel := context.WithCancel(context.Background())
	m := &Member{Node: n, ID: id, stop: cancel, done: make(chan error, 1)}
	go func() { m.done <- n.Run(ctx) }()
	f.Nodes = append(f.Nodes, m)
	return m, nil
}

func (f *Fleet) settings(id, domain string) *settings.Settings {
	s := settings.Default()
	s.Node.ID = id
	s.Node.FailureDomain = domain
	s.Callers.Address = loopback
	s.Operators.Address = loopback
	s.Operators.KeyHash = config.HashKey(OperatorsKey)
	s.Peers.Address = loopback
	s.Peers.Key = PeersKey
	s.Log.URL = f.LogURL
	s.Hosts.URL = f.HostsURL
	s.Hosts.PollInterval = settings.Duration(200 * time.Millisecond)
	s.KeptContext.ExportAfter = settings.Duration(50 * time.Millisecond)
	s.Requests.DrainGrace = settings.Duration(50 * time.Millisecond)
	return &s
}

// Remove removes a stopped node from the host list.
func (f *Fleet) Remove(m *Member) { f.Hosts.Remove(m.ID) }

// Close stops the nodes, one after the other, and then the simulated external systems.
func (f *Fleet) Close() error {
	var errs []error
	for _, m := range f.Nodes {
		errs = append(errs, m.Stop())
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Stores {
		s.Close()
	}
	f.Service.Close()
	f.Log.Close()
	for _, c := range f.closers {
		c()
	}
	return errors.Join(errs...)
}
