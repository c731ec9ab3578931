package gateway

import (
	"net/netip"
	"time"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/pace"
	"github.com/cherryward/cherryward/internal/relay"
	"github.com/cherryward/cherryward/platform"
)

// askPause is the time between two questions to another node for what changed in a
// topic. With the age of that node's copy it stays well within the operators' bounds.
const askPause = 400 * time.Millisecond

// nodesAskPause is the same for the nodes' addresses, which change seldom.
const nodesAskPause = 3 * time.Second

// followers are what keeps the node's copies of topics current.
type followers struct {
	config, endpoints, nodes *follow.Follower
}

// followers returns the followers of the store's topics, whose copies other nodes may
// ask for.
func (n *Node) followers(store *platform.Store) followers {
	copies := relay.New(n.conn)
	follower := func(name, topic string, held *relay.Copy) (*follow.Follower, *relay.Topic) {
		copies.Serve(name, held)
		from := &relay.Topic{Name: name, Store: store.Topic(topic), Relay: copies, Readers: n.readers, Backups: n.roster.backups, Fallback: n.fallbackPause, Log: n.log}
		return &follow.Follower{Name: name, Topic: from, Sink: held, Retry: storeRetry, RetryMost: storeRetryMost, Reject: n.state.rejected.record, Clock: n.clock, Log: n.log}, from
	}
	var f followers
	var from *relay.Topic
	f.config, from = follower("config", platform.TopicOperator, &relay.Copy{Sink: n.state, Clock: n.clock})
	f.config.Wait, f.config.Pause = unless(from.Relayed, n.configWait), either(from.Relayed, askPause, nil)
	f.endpoints, from = follower("registry", platform.TopicEndpoints, &relay.Copy{Sink: n.registry, Clock: n.clock, Same: platform.SameEndpoint, Brief: platform.BriefEndpoint})
	// Each heartbeat is a record, so a read that waits for one would end many times a
	// second.
	f.endpoints.Pause = either(from.Relayed, askPause, n.registryPause)
	f.nodes, from = follower("nodes", platform.NodesTopic, &relay.Copy{Sink: n.roster, Clock: n.clock})
	from.MaxAge = oldestNodes
	f.nodes.Wait, f.nodes.Pause = unless(from.Relayed, n.nodesWait), either(from.Relayed, nodesAskPause, n.rosterPause)
	return f
}

// unless returns a setting that is nothing while a topic is read from another node.
func unless(relayed func() bool, setting func() time.Duration) func() time.Duration {
	return func() time.Duration {
		if relayed() {
			return 0
		}
		return setting()
	}
}

// either returns a setting that is asked while a topic is read from another node, else
// what own returns; nil for nothing.
func either(relayed func() bool, asked time.Duration, own func() time.Duration) func() time.Duration {
	return func() time.Duration {
		switch {
		case relayed():
			return asked
		case own == nil:
			return 0
		}
		return own()
	}
}

// readers returns the nodes that this one asks for what the store has.
func (n *Node) readers() []netip.AddrPort {
	addrs, _ := n.roster.readers()
	return addrs
}

// relayed reports whether other nodes read the store, and ask the stores of KV cache, for this one.
func (n *Node) relayed() bool { return len(n.readers()) > 0 }

// storeReaders returns the number of nodes that share the reads of the store: all, at a
// node that reads it for want of one to ask.
func (n *Node) storeReaders() int {
	if _, own := n.roster.readers(); own {
		return pace.MeshNodes
	}
	return n.nodes()
}

// fallbackPause is the time between two reads of a store that fails, at a node for which
// others read it. These tell it as soon as the store is back.
func (n *Node) fallbackPause() time.Duration { return pace.Fallback(n.nodes()) }

// configWait is how long a read of the configuration waits for a change.
func (n *Node) configWait() time.Duration {
	return pace.ConfigWait(n.storeReaders(), n.bounds().Revoke)
}

// nodesWait is how long a read of the nodes' addresses waits for a change.
func (n *Node) nodesWait() time.Duration {
	if _, own := n.roster.readers(); own {
		return readerNodesWait
	}
	return nodesWait
}

func (n *Node) registryPause() time.Duration {
	if _, own := n.roster.readers(); own {
		return pace.Reader(n.bounds().Drain)
	}
	return pace.Registry(n.nodes(), n.bounds().Drain)
}

// rosterPause is the time between two reads of the nodes' addresses.
func (n *Node) rosterPause() time.Duration {
	if n.clock.Since(n.started) < gatherTime {
		return gatherPause
	}
	return pace.Roster(n.nodes())
}
