// Package gateway puts together a node that stands between the clients and
// servers of the users' platform.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/kept"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/pace"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/placer"
	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/slowstart"
	"github.com/cherryward/cherryward/internal/throttle"
	"github.com/cherryward/cherryward/internal/weights"
	"github.com/cherryward/cherryward/platform"
)

const (
	// storeRetry is the pause after a failed read of the store.
	storeRetry = 250 * time.Millisecond
	// storeRetryMost is the same after several. A node must know what changed within the
	// stable window, 3 s or more, after the store is back.
	storeRetryMost = time.Second
	// stopMargin is kept of the grace time for the process's own end.
	stopMargin = 500 * time.Millisecond

	// leaseMargin is added to the lease bound before another node gives orders, for
	// the way of the last order.
	leaseMargin = 200 * time.Millisecond

	// takeoverTime is how long a node that doesn't stand by leaves the claim on orders to
	// those that do after it last heard of a holder. They need the rest of the claim's
	// time, the lease bound and a read of the log: 5.5 s.
	takeoverTime = 8 * time.Second

	// heardTime is how long a node may be silent that others ask for what the store has:
	// a few of its messages may be lost.
	heardTime = time.Second
)

// Node is a gateway node, listening but not yet running.
type Node struct {
	kernel     *kernel.Kernel
	clock      *clock.Clock
	boot       atomic.Pointer[bootstrap.Node]
	state      *state
	fleet      *fleet.Fleet
	registry   *registry
	callers    *server
	balancer   *server // answers whether the node is ready
	keeping    *keeping
	events     *kept.Peers // tells and asks other nodes what stores keep
	orders     *weights.Service
	conn       *datagram.Conn // to and from other nodes
	peers      *peerload.Exchange
	roster     *roster
	quarantine *quarantine.Service
	recorder   *recorder
	started    time.Time
	leaving    atomic.Bool
	toldReady  atomic.Bool // the newest answer to the balancer
	log        zerolog.Logger
}

// New opens the node's listeners and puts its services together. load reads the
// boot file anew, in case it changes.
func New(boot *bootstrap.Node, load func() (*bootstrap.Node, error), log zerolog.Logger) (*Node, error) {
	return NewOn(clock.System(), boot, load, log)
}

// NewOn does so on a host whose clock counts the time in which it is suspended.
func NewOn(host *clock.Clock, boot *bootstrap.Node, load func() (*bootstrap.Node, error), log zerolog.Logger) (*Node, error) {
	limitMemory(boot.MemoryBytes)
	n := &Node{
		kernel: kernel.New(boot.Bounds.Grace - stopMargin),
		fleet:  fleet.New(log),
		log:    log,

		clock: host,

		started: host.Now(),
	}
	n.boot.Store(boot)
	n.state = newState(n.bounds, log)
	n.state.clock = host
	n.registry = newRegistry(n.fleet, n.state.config.Load, n.bounds, n.state.rejected)
	n.registry.clock = host
	n.state.configured = n.registry.reconsider
	n.state.evacuations.ending = n.registry.chill
	store := platform.NewStore(boot.StoreAddr)
	if err := n.addParts(store); err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	return n, n.registerServices(store, load)
}

// addParts makes what requests are decided with.
func (n *Node) addParts(store *platform.Store) (err error) {
	boot := n.boot.Load()
	engines := platform.NewEngines()
	n.keeping = &keeping{node: n}
	n.keeping.index = kept.NewIndex(engines, n.keeping.pace, n.log)
	n.keeping.index.Relayed = n.relayed
	n.keeping.index.Clock = n.clock
	n.conn, err = datagram.Listen(peerAddr(boot), n.log)
	if err != nil {
		return err
	}
	n.conn.Bound(pace.Answers(boot.LinkBytes))
	n.events = &kept.Peers{Index: n.keeping.index, Conn: n.conn, Readers: n.readers}
	n.events.Serve()
	n.peers = peerload.New(peerload.Config{
		Node:       boot.Name,
		Domain:     boot.Domain,
		Conn:       n.conn,
		Members:    n.fleet.All,
		Member:     n.fleet.Member,
		Late:       n.keeping.late,
		Orders:     n.givenOrders,
		Names:      n.keeping.names,
		Neighbours: n.neighbours,
		Role:       func() peerload.Role { return n.roster.role() },
		LinkBytes:  boot.LinkBytes,
		Clock:      n.clock,
		Log:        n.log,
	})
	own := nodeEntry{Addr: n.conn.Addr(), Domain: boot.Domain, MilliCores: boot.MilliCores}
	n.roster = newRoster(boot.Name, own, store.Topic(platform.NodesTopic), n.peers.SetPeers, n.heard, n.log)
	n.roster.clock = n.clock
	n.roster.rejected = n.state.rejected
	n.quarantine = quarantine.New(quarantine.Config{
		Node: boot.Name, Conn: n.conn, Peers: n.roster.Peers, Topic: store.Topic(platform.NodesTopic), Now: n.clock.Now, Log: n.log,
	})
	n.roster.holds, n.roster.changed = n.quarantine.Apply, n.quarantine.PeersChanged
	n.roster.lease.grace = goneGrace(boot.Bounds.RetryWindow)
	n.orders, err = weights.New(weights.Config{
		Node:    boot.Name,
		Fleet:   n.fleet,
		Wanted:  n.state,
		Engines: engines,
		Claims:  store.Log(platform.ClaimsTopic),
		Peers:   n,
		Lease:   boot.Bounds.Lease + leaseMargin,
		Changed: n.state.changed,
		Clock:   n.clock,
		Log:     n.log,
	})
	if err != nil {
		return err
	}
	n.recorder = newRecorder(n)
	return nil
}

// listen opens the listeners for callers and for the balancer.
func (n *Node) listen() (err error) {
	boot := n.boot.Load()
	n.callers, err = listen("callers", boot.CallersAddr, closing(&n.leaving, n.handler()), &n.leaving, n.log)
	if err != nil {
		return err
	}
	n.callers.linger = leaveTime
	n.callers.needs = []string{"ready", "config", "registry", "kept"}
	n.balancer, err = listen("ready", boot.ReadyAddr, http.HandlerFunc(n.serveReady), &n.leaving, n.log)
	return err
}

// registerServices hands all services to the kernel.
func (n *Node) registerServices(store *platform.Store, load func() (*bootstrap.Node, error)) error {
	followers := n.followers(store)
	return n.register(n.balancer, n.callers,
		&task{name: "config", run: followers.config.Run},
		&task{name: "registry", run: followers.endpoints.Run},
		&task{name: "roster", run: followers.nodes.Run},
		&task{name: "orders", run: n.orders.Run},
		&task{name: "messages", run: n.conn.Run},
		&task{name: "peers", run: n.peers.Run},
		&task{name: "announce", run: n.roster.announce},
		&task{name: "quarantine", run: n.quarantine.Run},
		&task{name: "suspension", run: n.watchSuspension},
		&task{name: "sweep", run: newSweeper(n).run},
		&task{name: "reload", run: func(ctx context.Context) error { return n.reload(ctx, load) }},
		&task{name: "kept", run: n.keeping.follow},
		&task{name: "events", run: n.events.Run},
		&task{name: "free", run: n.keeping.free},
	)
}

func (n *Node) register(services ...kernel.Service) error {
	for _, s := range services {
		if err := n.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) handler() *forward.Handler {
	boot := n.boot.Load()
	budgets := forward.NewBudgets(boot.Bounds, n.nodes)
	budgets.Held = n.roster.Counted
	budgets.Clock = n.clock
	return &forward.Handler{
		Dialect:    platform.Dialect{},
		State:      n.state,
		Placer:     n.placer(),
		Budgets:    budgets,
		Patience:   &forward.Patience{},
		Quarantine: n.quarantine,
		Fleet:      n.fleet,
		Clock:      n.clock,
		Bounds:     n.bounds,
		Recorder:   n.recorder,
		Log:        n.log,
	}
}

func (n *Node) placer() *placer.Placer {
	return &placer.Placer{
		Domain:       n.boot.Load().Domain,
		Fleet:        n.fleet,
		Versions:     n.state,
		Kept:         n.keeping.index,
		MayName:      n.keeping.mayName,
		Peers:        n.peers.Table,
		Kick:         n.peers.Kick,
		Usual:        &kept.Lateness{},
		Whole:        n.peers.Whole,
		Closed:       n.orders.Closed,
		VersionApply: func() time.Duration { return n.bounds().VersionApply },
		Evacuated:    n.state.Evacuated,
		SlowStart:    &slowstart.Limiter{Node: n.boot.Load().Name, View: n.roster.senders},
		MostCold:     n.mostCold,
		Throttle:     &throttle.Limiter{Node: n.boot.Load().Name, View: n.roster.throttlers},
		Excused:      n.state.excused,
		Services:     &placer.Services{},
		Nodes:        n.nodes,
		Unheard:      n.peers.Unheard,
		Now:          n.clock.Now,
		Random:       rand.Float64,
	}
}

func (n *Node) bounds() bootstrap.Bounds { return n.boot.Load().Bounds }

// peerAddr is where the node hears its peers.
func peerAddr(boot *bootstrap.Node) string {
	return net.JoinHostPort(boot.IP, strconv.Itoa(boot.PeerPorts[0]))
}

// CallersAddr returns the address that callers connect to.
func (n *Node) CallersAddr() string { return n.callers.listener.Addr().String() }

// Nodes returns the number of nodes that are listed, this one included.
func (n *Node) Nodes() int { return n.roster.Nodes() }

// Holds returns the requests that are or were held.
func (n *Node) Holds() []quarantine.Hold { return n.quarantine.Holds() }

// Run serves until ctx is done, then stops gracefully.
func (n *Node) Run(ctx context.Context) error { return n.kernel.Run(ctx) }
