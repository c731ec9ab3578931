// Package gateway assembles a gateway node, which forwards requests from callers to the servers of
// the users' platform.
package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/brittle"
	"github.com/cherryward/cherryward/internal/callerconn"
	"github.com/cherryward/cherryward/internal/canary"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/enginepace"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/handoff"
	"github.com/cherryward/cherryward/internal/hostplan"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/tcp"
	"github.com/cherryward/cherryward/internal/upstream"
	"github.com/cherryward/cherryward/internal/weights"
	"github.com/cherryward/cherryward/platform"
)

const (
	// storeRetry is the delay after a failed read of the metadata store.
	storeRetry = 250 * time.Millisecond
	// maxStoreRetry is the longest delay after repeated failures. A node must read the changes
	// within the stable window, at least 3 s, after the store is back.
	maxStoreRetry = time.Second
	// stopMargin is the part of the grace period reserved for the exit of the process.
	stopMargin = 500 * time.Millisecond

	// leaseMargin is added to the lease bound before another node issues orders, to cover the
	// transit time of the last order.
	leaseMargin = 200 * time.Millisecond

	// takeoverDelay is how long a node that is not a standby waits, after the last message from a
	// holder of the claim on orders, before it tries to take the claim. The standbys need up to
	// 5.5 s: the rest of the claim's duration, the lease bound and a read of the log.
	takeoverDelay = 8 * time.Second

	// peerTimeout is how long no message of a node may arrive before the node counts as
	// unavailable. It tolerates the loss of a few messages.
	peerTimeout = time.Second
)

// Node is a gateway node. New opens its listeners; Run starts it.
type Node struct {
	kernel        *kernel.Kernel
	clock         *clock.Clock
	boot          atomic.Pointer[bootstrap.Node]
	state         *state
	storeEra      func() int64
	fleet         *fleet.Fleet
	network       *network // connections to endpoints and stores
	registry      *registry
	callers       *server
	readyServer   *server // readiness checks of the balancer, metrics
	helperServer  *server // requests that other nodes pass to this one
	helpers       *handoff.Table
	cacheTracker  *cacheTracker
	cachePeers    *kvindex.Peers // exchanges the contents of KV-cache stores with other nodes
	orders        *weights.Service
	conn          *datagram.Conn // messages to and from other nodes
	peers         *peerload.Exchange
	roster        *roster
	quarantine    *quarantine.Service
	releases      *canary.Service
	origins       *origin.Service // of streams
	pace          *enginepace.Services
	brittle       *brittle.Service
	recorder      *recorder
	buffers       *forward.Buffers // of the bodies of requests and answers
	pools         callerconn.Pools // of what callers' connections take
	idle          *hostplan.Pool   // of connections to endpoints and other nodes that no request uses
	started       time.Time
	startLog      *startLog
	shuttingDown  atomic.Bool
	stop          *forward.Stop
	stopTime      time.Duration // from the start of the shutdown to the end of the requests that are in progress then
	reportedReady atomic.Bool   // last readiness reported to the balancer
	streamsBegan  atomic.Bool   // streams could begin since the start
	log           zerolog.Logger

	// releaseGate holds back streams at releases that the platform's store does not name, which releaseRecorder writes.
	releaseGate     *origin.Gate
	releaseRecorder *origin.Recorder
}

// Host is the host that a node runs on.
type Host struct {
	// Clock must count time spent in suspension.
	Clock *clock.Clock
	// Connect opens connections to endpoints and KV-cache stores.
	Connect upstream.DialFunc
}

// SystemHost returns the host that this process runs on.
func SystemHost() Host {
	dialer := tcp.Dialer(0)
	return Host{Clock: clock.System(), Connect: dialer.DialContext}
}

// New opens the node's listeners and creates its services. Changes of boot are read from source.
func New(boot *bootstrap.Node, source BootSource, log zerolog.Logger) (*Node, error) {
	return NewOn(SystemHost(), boot, source, log)
}

// NewOn is New for a node that runs on the given host.
func NewOn(host Host, boot *bootstrap.Node, source BootSource, log zerolog.Logger) (*Node, error) {
	plan := hostplan.New(boot.MemoryBytes, boot.MaxFiles)
	limitMemory(plan)
	logPlan(log, plan)
	stopTime := boot.Bounds.StopGracePeriod - stopMargin
	n := &Node{
		kernel: kernel.New(stopTime),
		fleet:  fleet.New(log),
		log:    log,

		clock: host.Clock,

		stop:     forward.NewStop(),
		stopTime: stopTime,

		started: host.Clock.Now(),
	}
	n.buffers = forward.NewBuffers(plan.BodyBytes)
	n.pools = callerconn.Pools{Heads: hostplan.NewPool(plan.HeadBytes), Windows: hostplan.NewPool(plan.WindowBytes)}
	n.startLog = &startLog{started: n.started, since: host.Clock.Since, log: log}
	n.network = newNetwork(host, n.fleet, log)
	n.idle = hostplan.NewPool(int64(plan.IdleConnections))
	n.fleet.Connections = upstream.Options{Connect: n.network.Connect, Idle: n.idle, Heads: n.pools.Heads.Part(plan.AnswerHeadsPart)}
	n.boot.Store(boot)
	n.state = newState(n.bounds, log)
	n.state.clock = host.Clock
	n.state.regions, n.state.domain = boot.Regions, boot.Domain
	n.registry = newRegistry(n.fleet, n.state.config.Load, n.bounds, n.state.rejected)
	n.registry.clock = host.Clock
	n.registry.scope.domain, n.registry.scope.followsAll = boot.Domain, n.followsAllEndpoints
	n.state.onConfig = n.registry.reevaluate
	n.state.onRestored = func() { go n.orders.ReadClaims() }
	n.state.evacuations.onEnd = n.registry.markDomainCold
	if err := n.listen(plan); err != nil {
		return nil, err
	}
	store := platform.NewStore(boot.StoreAddr, n.log)
	n.storeEra = store.Era
	if err := n.buildComponents(store); err != nil {
		return nil, err
	}
	n.serveCallers()
	return n, n.registerServices(store, source)
}

// listen opens the listeners for callers, for the requests of other nodes, and for the balancer.
func (n *Node) listen(plan hostplan.Plan) (err error) {
	boot := n.boot.Load()
	if n.callers, err = listen("callers", boot.CallersAddr, n.guard(plan, plan.Connections), &n.shuttingDown, n.log); err != nil {
		return err
	}
	if n.helperServer, err = listen("helper", peerAddr(boot), n.guard(plan, plan.PeerConnections), &n.shuttingDown, n.log); err != nil {
		return err
	}
	n.readyServer, err = listen("ready", boot.ReadyAddr, n.guard(plan, plan.ReadyConnections), &n.shuttingDown, n.log)
	return err
}

// guard returns what bounds a listener with the given number of connections.
func (n *Node) guard(plan hostplan.Plan, connections int) *callerconn.Guard {
	limits := callerconn.Limits{
		Connections:   connections,
		ReceiveBuffer: plan.ReceiveBuffer,
		SendBuffer:    plan.SendBuffer,
		HeadBytes:     n.state.headLimit,
	}
	return callerconn.New(limits, n.pools, forward.Refusals(platform.Dialect{}, n.log), n.log)
}

// serveCallers sets what is served at the listeners.
func (n *Node) serveCallers() {
	handler := n.handler()
	refuse := http.HandlerFunc(handler.RefuseOverloaded)
	n.callers.handle(handler, refuse)
	n.helperServer.handle(http.HandlerFunc(handler.ServePassed), refuse)
	n.callers.shutdownDelay = callersShutdownDelay
	n.callers.stopped = func() {
		now := n.clock.Now()
		n.stop.Begin(now, now.Add(n.stopTime-callersShutdownDelay))
	}
	n.callers.endRequests, n.helperServer.endRequests = n.stop.End, n.stop.End
	n.readyServer.http.Handler = n.readyServer.guard.Handler(http.HandlerFunc(n.serveReady), refuse)
}

func (n *Node) bounds() bootstrap.Bounds { return n.boot.Load().Bounds }

// peerAddr returns the address at which the node receives messages from its peers, over UDP, and requests
// that they pass to it, over TCP.
func peerAddr(boot *bootstrap.Node) string {
	return net.JoinHostPort(boot.IP, strconv.Itoa(boot.PeerPorts[0]))
}

// CallersAddr returns the address that callers connect to.
func (n *Node) CallersAddr() string { return n.callers.addr() }

// Nodes returns the number of listed nodes, including this one.
func (n *Node) Nodes() int { return n.roster.Nodes() }

// Holds returns the current and past holds on requests.
func (n *Node) Holds() []quarantine.Hold { return n.quarantine.Holds() }

// Run serves until ctx is done, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error { return n.kernel.Run(ctx) }
