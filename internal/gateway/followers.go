package gateway

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/intervals"
	"github.com/cherryward/cherryward/internal/relay"
	"github.com/cherryward/cherryward/platform"
)

// relayPollInterval is the time between two requests to another node for changes of a topic.
// Together with the age of that node's copy it stays well within the operators' drain and
// revocation bounds.
const relayPollInterval = 400 * time.Millisecond

// nodesRelayPollInterval is relayPollInterval for the list of nodes, which rarely changes.
const nodesRelayPollInterval = 3 * time.Second

const (
	// maxRegistryAgeShare is the fraction of the drain bound up to which another node's copy of the
	// registry is used. A copy passes two nodes, so it is older than that of another topic.
	maxRegistryAgeShare = 0.7
	// listTimeout is how long a node that starts waits for the list of nodes before it reads the configuration
	// and the registry from the store. The list tells whether other nodes can give them: in a large system whose
	// nodes all start, each that read them without it would keep the store from sending the list to the others.
	listTimeout = 4 * time.Second
	// configTimeout is how long a node of a large system that starts waits for another node to give it the
	// configuration, and maxConfigStagger spreads the nodes that none has given it.
	configTimeout    = time.Second
	maxConfigStagger = 4 * time.Second
	// maxRegistryStagger spreads the nodes that no reader provides with the registry.
	maxRegistryStagger = 4 * time.Second
)

// followers keep this node's copies of the store's topics current.
type followers struct {
	config, endpoints, nodes *follow.Follower
}

// followers returns the followers of the store's topics, and serves their copies to other nodes.
func (n *Node) followers(store *platform.Store) followers {
	copies := relay.New(n.conn)
	eras := &follow.Eras{Stated: store.Era, Clock: n.clock}
	follower := func(name, topic string, replica *relay.Copy, part startPart) (*follow.Follower, *relay.Topic) {
		replica.Sink = startSink{Sink: replica.Sink, log: n.startLog, part: part}
		replica.Eras = eras
		copies.Serve(name, replica)
		source := &relay.Topic{
			Name: name, Store: store.Topic(topic), Relay: copies, Readers: n.readers, Preference: n.readerPreference(),
			Backups: n.roster.backups, Standbys: n.standbys, SparesStore: n.sparesStore, Own: replica, Eras: eras, Fallback: n.fallbackInterval, OnRead: func(r relay.Read) { n.recorder.recordRead(name, &r) }, Log: n.log,
		}
		return &follow.Follower{Name: name, Topic: source, Sink: replica, Retry: storeRetry, MaxRetryDelay: maxStoreRetry, Reject: n.state.rejected.record, Clock: n.clock, Log: n.log}, source
	}
	var f followers
	var source *relay.Topic
	f.config, source = follower("config", platform.TopicOperator, &relay.Copy{Sink: n.state, Clock: n.clock}, partConfig)
	source.MayReadAll, source.Candidates = n.mayReadConfig, n.roster.listedReaders
	f.config.Wait, f.config.Pause = zeroIfRelayed(source.Relayed, n.configWait), intervalIfRelayed(source.Relayed, relayPollInterval, nil)
	entries := &relay.Copy{Sink: n.registry, Clock: n.clock, Same: platform.SameEndpoint, Brief: platform.ShortenEndpoint}
	n.registry.records = entries.Records
	f.endpoints, source = follower("registry", platform.TopicEndpoints, entries, partRegistry)
	source.MayReadAll, source.Readers, source.NeverForStale = n.mayReadRegistry, n.registryReaders, true
	source.Standbys, source.SparesStore = nil, n.sparesRegistry
	source.MaxAge = max(relay.MaxAge, time.Duration(maxRegistryAgeShare*float64(n.bounds().DrainLimit)))
	// Each heartbeat is a record, so a read that waits for a change would end many times per
	// second.
	f.endpoints.Pause = intervalIfRelayed(source.Relayed, relayPollInterval, n.registryInterval)
	f.nodes, source = follower("nodes", platform.TopicNodes, &relay.Copy{Sink: n.roster, Clock: n.clock}, partNodes)
	source.MaxAge, source.MayReadAll, source.Candidates = maxNodesAge, n.mayReadNodes, n.roster.listedReaders
	f.nodes.Wait, f.nodes.Pause = zeroIfRelayed(source.Relayed, n.nodesWait), intervalIfRelayed(source.Relayed, nodesRelayPollInterval, n.rosterInterval)
	return f
}

// followsAllEndpoints reports whether this node must follow all endpoints: it may read the registry for
// others or give orders to all engines, its own failure domain is evacuated, or some requests may be
// served in other regions only.
func (n *Node) followsAllEndpoints() bool {
	return intervals.FullMesh(n.nodes()) || n.roster.readerCandidate() || n.roster.rootCandidate() || n.roster.Standby() ||
		n.state.Evacuated(n.boot.Load().Domain) || n.state.confinedElsewhere.Load()
}

// registryReaders returns the nodes from which this node obtains the registry: the readers of its
// failure domain or, if it is one of them and the registry is large, the root readers. It returns none
// if this node reads the registry from the store.
func (n *Node) registryReaders() []netip.AddrPort {
	if readers := n.readers(); len(readers) > 0 || !n.registry.scope.isLarge.Load() {
		return readers
	}
	return n.roster.rootReaders()
}

// standbys returns the nodes that read the metadata store in place of this node's readers if their copies are
// too old.
func (n *Node) standbys() []netip.AddrPort {
	addrs, _ := n.roster.standbys()
	return addrs
}

// sparesStore reports whether this node leaves the metadata store to the nodes that read it for others: it is
// none of them, nor a standby for one.
func (n *Node) sparesStore() bool {
	_, isStandby := n.roster.standbys()
	return !isStandby && n.sparesRegistry()
}

// sparesRegistry is sparesStore for the registry, which takes too much of a small host's link for standbys.
func (n *Node) sparesRegistry() bool {
	_, isReader := n.roster.readers()
	return !isReader && !intervals.FullMesh(n.nodes()) && !n.roster.rootCandidate()
}

// mayReadNodes is mayReadConfig for the list of nodes, which tells a node that starts who the others are.
func (n *Node) mayReadNodes() bool { return !n.roster.Loaded() || n.mayReadConfig() }

// mayReadConfig reports whether this node, which starts, may read the configuration from the store rather
// than from another node. The nodes of a large system that all started would else ask it for a multiple of
// what it sends in a second.
func (n *Node) mayReadConfig() bool {
	age := n.clock.Since(n.started)
	switch {
	case !n.roster.Loaded():
		return age > listTimeout
	case intervals.FullMesh(n.roster.Nodes()), n.roster.readerCandidate():
		return true
	}
	return age > configTimeout+time.Duration(n.readerPreference()%uint64(maxConfigStagger))
}

// mayReadRegistry reports whether this node may read the whole registry from the store, rather than
// from a node that reads it for others. The registry of a large system takes megabytes, so nodes that
// start wait for those nodes first, each for a different time: they would else all ask at once.
func (n *Node) mayReadRegistry() bool {
	age := n.clock.Since(n.started)
	switch {
	case !n.roster.Loaded():
		return age > listTimeout
	case n.roster.readerCandidate() || intervals.FullMesh(n.roster.Nodes()) && n.roster.listedAtStart():
		return true
	case !intervals.FullMesh(n.roster.Nodes()):
		age -= time.Duration(n.readerPreference() % uint64(maxRegistryStagger))
	}
	return !n.cacheTracker.shouldAwaitReports(age)
}

// zeroIfRelayed returns a function that returns 0 while a topic is read from another node, and the
// value of ifDirect otherwise.
func zeroIfRelayed(relayed func() bool, ifDirect func() time.Duration) func() time.Duration {
	return func() time.Duration {
		if relayed() {
			return 0
		}
		return ifDirect()
	}
}

// intervalIfRelayed returns a function that returns interval while a topic is read from another
// node, and the value of ifDirect otherwise. A nil ifDirect stands for 0.
func intervalIfRelayed(relayed func() bool, interval time.Duration, ifDirect func() time.Duration) func() time.Duration {
	return func() time.Duration {
		switch {
		case relayed():
			return interval
		case ifDirect == nil:
			return 0
		}
		return ifDirect()
	}
}

// readers returns the nodes from which this node obtains the metadata store's contents. It returns
// none if this node reads that store itself.
func (n *Node) readers() []netip.AddrPort {
	addrs, _ := n.roster.readers()
	return addrs
}

// readerPreference returns a number that differs between nodes, so that they spread over the nodes that
// read for them.
func (n *Node) readerPreference() uint64 { return xxhash.Sum64String(n.boot.Load().Name) }

// readsThroughOthers reports whether other nodes read the metadata store and poll the KV-cache
// stores on behalf of this node.
func (n *Node) readsThroughOthers() bool { return len(n.readers()) > 0 }

// storeReaderCount returns the number of nodes among which reads of the platform's stores are
// divided: all nodes, or intervals.MaxMeshNodes at one of the few nodes of a large system that read
// for the others.
func (n *Node) storeReaderCount() int {
	if _, isReader := n.roster.readers(); isReader {
		return intervals.MaxMeshNodes
	}
	return n.nodes()
}

// fallbackInterval returns the time between two reads of a failing metadata store, at a node that
// relies on others to read it. Those nodes report to this one as soon as the store is back.
func (n *Node) fallbackInterval() time.Duration { return intervals.FallbackInterval(n.nodes()) }

// configWait returns how long a read of the configuration waits for a change.
func (n *Node) configWait() time.Duration {
	return intervals.ConfigWait(n.storeReaderCount(), n.bounds().RevokeLimit)
}

// nodesWait returns how long a read of the list of nodes waits for a change.
func (n *Node) nodesWait() time.Duration {
	if _, isReader := n.roster.readers(); isReader {
		return readerNodesWait
	}
	return nodesWait
}

// registryInterval returns the time between two reads of the registry.
func (n *Node) registryInterval() time.Duration {
	if _, isReader := n.roster.readers(); isReader {
		return intervals.ReaderInterval(n.bounds().DrainLimit)
	}
	return intervals.RegistryInterval(n.nodes(), n.bounds().DrainLimit)
}

// rosterInterval returns the time between two reads of the list of nodes.
func (n *Node) rosterInterval() time.Duration {
	if n.clock.Since(n.started) < startupWindow {
		return startupReadInterval
	}
	return intervals.RosterInterval(n.nodes())
}
