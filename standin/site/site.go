// Package site is a stand-in for a deployment of the users' platform on the loopback interface:
// the metadata store, model servers, a plain server, a store of KV cache, and the operator's
// configuration.
package site

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cherryward/cherryward/standin/metastore"
	"github.com/cherryward/cherryward/standin/modelserver"
)

const (
	// Host and the paths of the configured routes.
	Host        = "office.example"
	PathSummary = "/summary/" // streaming, not resumable
	PathQuery   = "/query/"   // streaming, resumable
	PathLookup  = "/lookup/"  // idempotent
	PathUpload  = "/upload/"  // not idempotent

	// Model is the name of the served model, Account the name of the client account.
	Model   = "reader"
	Account = "yard"

	// StreamEvents is the number of events of a complete stream.
	StreamEvents = 8

	defaultServers    = 3
	readHeaderTimeout = 5 * time.Second

	registryTopic = "keyed.servers" // topic of the servers' entries

	stateReady    = "ready"
	stateDraining = "draining"
)

// Config configures a site.
type Config struct {
	HeartbeatInterval time.Duration // interval of the servers' registry entries
	EventInterval     time.Duration // interval of the events of a stream
	// Releases are the releases of the model servers' software, one for each server; empty means three
	// servers of "v1".
	Releases []string
	// Zones are the failure domains over which the model servers are spread in turn; empty means two, of
	// which SecondZone has the last server. The nodes of BootFile and the other servers are in the first.
	Zones []string
	// Bounds are those of the nodes' boot files; zero means DefaultBounds.
	Bounds Bounds
	// Loads is the source of the model servers' weights; nil loads them immediately.
	Loads *modelserver.Loads
	// IP is the address at which all stand-ins and nodes listen; empty means 127.0.0.1. Sites on the
	// same host that use different addresses don't reuse each other's ports.
	IP string
	// SecondRegion is true if SecondZone is in another region than the other servers and the nodes.
	SecondRegion bool
	// Proxy returns the address that is published in place of a stand-in's own address. If it is
	// nil, the own addresses are published.
	Proxy func(addr string) (string, error)
	// OnCrash, if not nil, is called when the i-th model server crashes, before its connections are
	// closed.
	OnCrash func(i int)
}

// Site is a running deployment.
type Site struct {
	Store   *metastore.Store
	Models  []*modelserver.Server
	Plain   *modelserver.Server
	KVStore *modelserver.Server // the store of KV cache
	// OtherWriter writes invalid records to the metadata store at the request of tests.
	OtherWriter *OtherWriter

	ip                     string
	storeAddr, kvStoreAddr string
	serversMu              sync.Mutex
	servers                []*server
	models                 []*server // those of Models
	eventInterval          time.Duration
	zones                  []string
	bounds                 Bounds
	loads                  *modelserver.Loads
	ctx                    context.Context // cancelled by Close
	secondRegion           bool
	proxy                  func(addr string) (string, error)
	onCrash                func(i int)
	stop                   context.CancelFunc
	wg                     sync.WaitGroup
}

// server is a server of the site that is listed in the registry.
type server struct {
	*modelserver.Server
	id string

	mu    sync.Mutex
	at    listener
	state string // empty after a crash or removal
}

// listener holds the addresses of a server.
type listener struct {
	own   string // address that the server listens at
	addr  string // published address
	close func() // closes the listener and all connections
}

// Start starts a site. When it returns, all servers are registered; the configuration must be
// written with Configure.
func Start(c Config) (*Site, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Site{
		ip: cmp.Or(c.IP, "127.0.0.1"), Store: metastore.New(), ctx: ctx, stop: cancel, secondRegion: c.SecondRegion, eventInterval: c.EventInterval,
		zones: c.Zones, bounds: cmp.Or(c.Bounds, DefaultBounds()), loads: c.Loads, proxy: c.Proxy, onCrash: c.OnCrash,
	}
	if len(s.zones) == 0 {
		s.zones = []string{firstZone, SecondZone}
	}
	store, err := s.listen(s.Store.Handler())
	if err != nil {
		return nil, err
	}
	if s.OtherWriter, err = newOtherWriter(s); err != nil {
		return nil, err
	}
	s.KVStore = modelserver.New(modelserver.Config{ID: "keep"})
	keep, err := s.listen(s.KVStore.Handler())
	if err != nil {
		return nil, err
	}
	s.storeAddr, s.kvStoreAddr = store.addr, keep.addr
	if len(c.Releases) == 0 {
		c.Releases = make([]string, defaultServers)
	}
	for i, zone := range c.zonesOf(len(c.Releases)) {
		if _, err := s.AddModelIn(c.Releases[i], zone); err != nil {
			return nil, err
		}
	}
	plain, err := s.add(modelserver.Config{ID: "plain-1", Service: "plain", Zone: s.zones[0]})
	if err != nil {
		return nil, err
	}
	s.Plain = plain.Server
	s.register()
	s.wg.Go(func() { s.heartbeat(ctx, c.HeartbeatInterval) })
	return s, nil
}

// AddModel starts another model server with the given release of its software. It is registered with
// the next heartbeats.
func (s *Site) AddModel(release string) (*modelserver.Server, error) {
	return s.AddModelIn(release, s.zones[0])
}

// AddModelIn is AddModel for a server in a zone.
func (s *Site) AddModelIn(release, zone string) (*modelserver.Server, error) {
	i := len(s.models)
	added, err := s.add(modelserver.Config{
		ID: fmt.Sprint("model-", i+1), Service: "models", Zone: zone, Model: Model, Release: release,
		StreamEvents: StreamEvents, EventInterval: s.eventInterval, Loads: s.loads,
		Crash: func() {
			if s.onCrash != nil {
				s.onCrash(i)
			}
		},
	})
	if err != nil {
		return nil, err
	}
	s.models, s.Models = append(s.models, added), append(s.Models, added.Server)
	return added.Server, nil
}

func (s *Site) add(cfg modelserver.Config) (*server, error) {
	added := &server{id: cfg.ID, state: stateReady}
	before := cfg.Crash
	cfg.Crash = func() {
		if before != nil {
			before()
		}
		added.crash()
	}
	added.Server = modelserver.New(cfg)
	at, err := s.listen(added.Handler())
	if err != nil {
		return nil, err
	}
	added.at = at
	s.serversMu.Lock()
	defer s.serversMu.Unlock()
	s.servers = append(s.servers, added)
	return added, nil
}

// listen serves at a new port, which is published through the proxy if there is one.
func (s *Site) listen(h http.Handler) (listener, error) {
	at, err := s.serveNewPort(h)
	if err == nil && s.proxy != nil {
		at.addr, err = s.proxy(at.own)
	}
	return at, err
}

// serveNewPort serves at an unused port.
func (s *Site) serveNewPort(h http.Handler) (listener, error) {
	l, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		return listener{}, err
	}
	return s.serve(l, h), nil
}

// serve serves at an address until the listener or the site is closed.
func (s *Site) serve(l net.Listener, h http.Handler) listener {
	served := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	s.wg.Go(func() { _ = served.Serve(l) }) // cancelled by Close
	context.AfterFunc(s.ctx, func() { _ = served.Close() })
	own := l.Addr().String()
	return listener{own: own, addr: own, close: func() { _ = served.Close() }}
}

// Close stops all stand-ins.
func (s *Site) Close() {
	s.stop()
	s.wg.Wait()
}

// heartbeat writes the servers' entries periodically until ctx is done.
func (s *Site) heartbeat(ctx context.Context, every time.Duration) {
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

// register writes the entry of each running server.
func (s *Site) register() {
	s.serversMu.Lock()
	servers := slices.Clone(s.servers)
	s.serversMu.Unlock()
	for _, server := range servers {
		server.mu.Lock()
		if server.state != "" {
			s.Store.Put(registryTopic, server.id, server.Entry(server.at.addr, server.state))
		}
		server.mu.Unlock()
	}
}

// Drain makes the i-th model server report the state draining.
func (s *Site) Drain(i int) { s.setState(i, stateDraining) }

// Remove deletes the registry entry of the i-th model server.
func (s *Site) Remove(i int) {
	s.setState(i, "")
	s.Store.Put(registryTopic, s.models[i].id, nil)
}

func (s *Site) setState(i int, state string) {
	s.models[i].mu.Lock()
	defer s.models[i].mu.Unlock()
	s.models[i].state = state
}

// Request returns a client's request to a node. session is the id of the part that the prompts of
// a session share; it is empty for plain requests.
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
