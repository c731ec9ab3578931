package gateway

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cherryward/cherryward/internal/datagram"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/handoff"
	"github.com/cherryward/cherryward/internal/intervals"
	"github.com/cherryward/cherryward/internal/kvindex"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/weights"
	"github.com/cherryward/cherryward/platform"
)

// buildComponents creates the components on which decisions about requests depend.
func (n *Node) buildComponents(store *platform.Store) (err error) {
	n.conn, err = datagram.Listen(peerAddr(n.boot.Load()), n.log)
	if err != nil {
		return err
	}
	n.conn.LimitResponses(intervals.AnswerRate(n.boot.Load().LinkBytes))
	n.network.askThrough(n.conn, func() []netip.AddrPort { return slices.Collect(maps.Values(n.roster.Peers())) })
	engines := platform.NewEngines(n.network.Connect)
	n.buildCaches(engines)
	n.pace, n.brittle = n.newPace(), n.newBrittle()
	n.buildPeers()
	n.buildRoster(store)
	n.buildQuarantine(store)
	n.buildReleases(store)
	n.roster.restored = func() {
		n.quarantine.TopicRestored()
		n.releases.TopicRestored()
	}
	n.buildOrigins(store)
	if err := n.buildOrders(store, engines); err != nil {
		return err
	}
	n.recorder = newRecorder(n)
	return nil
}

// buildCaches creates the components that know what engines and stores keep.
func (n *Node) buildCaches(engines *platform.Engines) {
	n.cacheTracker = &cacheTracker{node: n}
	n.cacheTracker.index = kvindex.NewIndex(engines, n.cacheTracker.intervals, n.log)
	n.cacheTracker.index.ReceivesRelays = n.readsThroughOthers
	n.cacheTracker.index.Clock = n.clock
	n.cachePeers = &kvindex.Peers{Index: n.cacheTracker.index, Conn: n.conn, Readers: n.readers, Preference: n.readerPreference()}
	n.cachePeers.Serve()
}

// buildPeers creates the components that tell other nodes of this one's load, and pass requests to them.
func (n *Node) buildPeers() {
	boot := n.boot.Load()
	n.peers = peerload.New(peerload.Config{
		Node:    boot.Name,
		Domain:  boot.Domain,
		Conn:    n.conn,
		Members: n.fleet.All,
		Member:  n.fleet.Member,
		Late:    n.cacheTracker.lateStores,
		Slow:    n.slowEngines,
		Brittle: n.brittleServices,

		ApplyBrittle: n.brittle.RecordRelayed,
		Orders:       n.orderStatus,
		References:   n.cacheTracker.referencedWatermarks,
		Neighbours:   n.domainPeers,
		Role:         func() peerload.Role { return n.roster.role() },
		LinkBytes:    boot.LinkBytes,
		Clock:        n.clock,
		Log:          n.log,
	})
	connections := n.fleet.Connections
	connections.Connect = nil // n.network judges the paths to endpoints, not those to nodes
	n.helpers = &handoff.Table{Name: boot.Name, Heard: n.mayHelp, Now: n.clock.Now, Random: rand.IntN, Connections: connections}
}

// buildRoster creates the list of nodes.
func (n *Node) buildRoster(store *platform.Store) {
	boot := n.boot.Load()
	own := nodeEntry{Addr: n.conn.Addr(), Helper: n.helperServer.addr(), BindsReleases: true, Domain: boot.Domain, MilliCores: boot.MilliCores}
	n.roster = newRoster(boot.Name, own, store.Topic(platform.TopicNodes), n.setPeers, n.peerAlive, n.log)
	n.roster.clock, n.roster.setHelpers, n.roster.regions = n.clock, n.helpers.SetNodes, boot.Regions
	n.roster.rejected = n.state.rejected
	n.roster.lease.grace = removalGrace(boot.Bounds.RetryWindow)
}

// buildQuarantine creates the service that holds requests under which endpoints end.
func (n *Node) buildQuarantine(store *platform.Store) {
	n.quarantine = quarantine.New(quarantine.Config{
		Node: n.boot.Load().Name, Conn: n.conn, Peers: n.roster.Peers,
		Topic: store.Topic(platform.TopicNodes), TopicEnd: n.roster.End, Now: n.clock.Now, Log: n.log,
	})
	n.roster.applyHoldRecord, n.roster.changed = n.quarantine.Apply, n.quarantine.PeersChanged
}

// buildOrders creates the service that orders engines to load weights.
func (n *Node) buildOrders(store *platform.Store, engines *platform.Engines) (err error) {
	boot := n.boot.Load()
	n.orders, err = weights.New(weights.Config{
		Node:       boot.Name,
		Fleet:      n.fleet,
		Wanted:     n.state,
		Engines:    engines,
		Claims:     store.Log(platform.TopicClaims),
		Peers:      n,
		Lease:      boot.Bounds.Lease + leaseMargin,
		Generation: follow.EraOf,
		Paths:      n.network,
		Postponed:  func(reason weights.PostponeReason) { n.recorder.jobPostponed(reason) },
		Changed:    n.state.changed,
		Clock:      n.clock,
		Log:        n.log,
	})
	return err
}
