// Package cluster maintains what this node has observed of the system: its members and
// the owner of each key. It also maintains connections to the other nodes.
//
// Ownership is computed from the member view alone, so nodes with different views may
// temporarily determine different owners. No guarantee to callers depends on a unique
// owner.
package cluster

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/hostwire"
	"github.com/cherryward/cherryward/coord/member"
	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/logservice"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/settings"
)

// Name is the service's name in the kernel.
const Name = "cluster"

const methodExchange = "member.exchange"

// Cluster is the service that maintains the members, the owners of keys and the
// connections to other nodes. Other services add their peer methods to
// Server before Run.
type Cluster struct {
	Server  *peers.Server
	Pool    *peers.Pool
	Traffic *peers.Traffic

	self              peers.Identity
	domain            string
	members           *member.List
	hosts             *logservice.Hosts
	hostsPollInterval time.Duration
	log               zerolog.Logger
	leavingHosts      atomic.Pointer[map[string]bool] // leaving hosts by address; nil before the first host list
	hostsVersion      int64                           // version of the last host list; used only by pollHosts
	owners            *owners
	listed            atomic.Pointer[rendezvous.Set] // nodes on the host list

	mu       sync.Mutex
	onChange []func()
}

var (
	_ kernel.Service = (*Cluster)(nil)
	_ kernel.Runner  = (*Cluster)(nil)
)

// New opens the listener for peers, which determines the node's own address, and
// returns the service. The listener uses listenTLS and connections to other nodes use
// dialTLS; nil means without TLS. No requests are served before Run. New fails if the
// address cannot be used or the member configuration is invalid.
func New(s *settings.Settings, listenTLS, dialTLS *tls.Config, log zerolog.Logger) (*Cluster, error) {
	c := &Cluster{
		Traffic:           &peers.Traffic{},
		domain:            s.Node.FailureDomain,
		hosts:             logservice.NewHosts(s.Hosts.URL),
		hostsPollInterval: time.Duration(s.Hosts.PollInterval),
		log:               log.With().Str("service", Name).Logger(),
	}
	key := []byte(s.Peers.Key)
	c.Server = peers.NewServer(key, c.Traffic)
	addr, err := c.Server.Listen(s.Peers.Address, listenTLS)
	if err != nil {
		return nil, err
	}
	advertised := s.Peers.Advertise
	if advertised == "" {
		advertised = addr.String()
	}
	entry := member.RosterEntry{ID: s.Node.ID, Addr: advertised, Domain: s.Node.FailureDomain}
	c.members, err = member.New(member.Config{Self: entry, Transport: transport{c}, Seed: rand.Uint64()})
	if err != nil {
		return nil, err
	}
	self, _ := c.members.View().Lookup(s.Node.ID)
	c.self = peers.Identity{ID: s.Node.ID, Incarnation: self.Incarnation, Addr: advertised}
	c.Server.SetIdentity(c.self)
	c.Pool = peers.NewPool(c.self, key, dialTLS, c.Traffic)
	peers.Handle(c.Server, methodExchange, c.serveExchange)
	c.owners = newOwners(s.Node.ID)
	c.owners.update(c.members.View())
	c.listed.Store(rendezvous.NewSet(nil))
	return c, nil
}

// Name implements kernel.Service.
func (c *Cluster) Name() string { return Name }

// Needs implements kernel.Service.
func (c *Cluster) Needs() []string { return nil }

// Start implements kernel.Service.
func (c *Cluster) Start(context.Context, *kernel.Kernel) error { return nil }

// Run implements kernel.Runner. It serves peers, exchanges membership with them and
// polls the host list until ctx is done or serving fails.
func (c *Cluster) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	serveErr := make(chan error, 1)
	go func() { serveErr <- c.Server.Serve() }()
	wg.Go(func() { _ = c.members.Run(ctx) }) // returns only the context's error
	wg.Go(func() { c.Pool.Run(ctx) })
	wg.Go(func() { c.pollHosts(ctx) })
	wg.Go(func() { c.followMembers(ctx) })
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
		return c.Server.Close()
	}
}

// Self returns this node's identity.
func (c *Cluster) Self() peers.Identity { return c.self }

// Domain returns this node's failure domain.
func (c *Cluster) Domain() string { return c.domain }

// Members returns the current member view.
func (c *Cluster) Members() member.View { return c.members.View() }

// Leave announces to the peers that this node accepts no new work.
func (c *Cluster) Leave() { c.members.Leave() }

// HostLeaving reports whether the platform's host list marks an endpoint's host as
// leaving.
func (c *Cluster) HostLeaving(endpoint *pb.Endpoint) bool {
	leaving := c.leavingHosts.Load()
	if leaving == nil || len(*leaving) == 0 {
		return false
	}
	base, err := url.Parse(endpoint.GetUrl())
	return err == nil && (*leaving)[base.Host]
}

// Listed returns the nodes on the platform's host list, whether or not they are alive.
func (c *Cluster) Listed() *rendezvous.Set { return c.listed.Load() }

// OnChange registers a function that is called whenever owners may have changed. f
// must not block.
func (c *Cluster) OnChange(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onChange = append(c.onChange, f)
}

// followMembers updates the owners when the member view changes. A leaving node,
// including this one, loses its keys immediately.
func (c *Cluster) followMembers(ctx context.Context) {
	views, cancel := c.members.Subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case view := <-views:
			c.owners.update(view)
			c.notifyChange()
		}
	}
}

func (c *Cluster) notifyChange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.onChange {
		f()
	}
}

func (c *Cluster) pollHosts(ctx context.Context) {
	ticker := time.NewTicker(c.hostsPollInterval)
	defer ticker.Stop()
	for {
		c.readHosts(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Cluster) readHosts(ctx context.Context) {
	list, err := c.hosts.List(ctx)
	if errors.Is(err, logservice.ErrUnchanged) {
		return
	}
	if err != nil {
		c.log.Warn().Str("event", "hosts_unreadable").Err(err).Send()
		return
	}
	if c.leavingHosts.Load() != nil && c.hostsVersion == list.Version {
		return
	}
	c.hostsVersion = list.Version
	leaving := make(map[string]bool)
	roster := make([]member.RosterEntry, 0, len(list.Hosts))
	var nodes []rendezvous.Node
	for _, h := range list.Hosts {
		if h.State == hostwire.Leaving {
			leaving[h.Addr] = true
		}
		if h.Node {
			roster = append(roster, member.RosterEntry{ID: h.ID, Addr: h.Addr, Domain: h.Domain, Leaving: h.State == hostwire.Leaving})
			nodes = append(nodes, rendezvous.Node{ID: h.ID, Weight: 1})
		}
	}
	c.leavingHosts.Store(&leaving)
	c.listed.Store(rendezvous.NewSet(nodes))
	c.members.SetRoster(roster)
	c.notifyChange()
}

func (c *Cluster) serveExchange(_ context.Context, _ peers.Identity, req *member.Message) (*member.Message, error) {
	return c.members.HandleExchange(req), nil
}

// transport sends membership exchanges over the connections to peers.
type transport struct{ c *Cluster }

var _ member.Transport = transport{}

// Exchange implements member.Transport.
func (t transport) Exchange(ctx context.Context, addr string, req *member.Message) (*member.Message, error) {
	return peers.Call[member.Message, member.Message](ctx, t.c.Pool, addr, methodExchange, req)
}
