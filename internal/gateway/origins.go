package gateway

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cherryward/cherryward/internal/intervals"
	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/peerload"
	"github.com/cherryward/cherryward/platform"
)

const (
	// resumeFactor is how many times the longest timeout of a stream's route may pass between its first
	// event and the last request of its caller that resumes it: a caller whose stream broke off near its
	// timeout may need another.
	resumeFactor = 2
	// minResumeTime is the least time for which streams can be resumed.
	minResumeTime = 10 * time.Second
	// unknownResumeTime is that of a node that has no configuration, which may allow any.
	unknownResumeTime = time.Hour
)

// buildOrigins creates the service that knows which release began each stream, and the recorder of releases.
func (n *Node) buildOrigins(store *platform.Store) {
	boot := n.boot.Load()
	self := origin.Peer{Name: boot.Name, Domain: boot.Domain, Addr: netip.MustParseAddrPort(n.conn.Addr())}
	topic := store.Topic(platform.TopicNodes)
	releases := origin.NewReleases(origin.ReleasesConfig{
		Topic: topic, Spacing: n.releaseReadSpacing, Retention: n.resumeTime, Now: n.clock.Now,
	})
	n.roster.applyReleases = releases.Apply
	n.releaseGate = &origin.Gate{Releases: releases, Observer: n.registry.releases, Retention: n.resumeTime, IsIsolated: n.isIsolated, Now: n.clock.Now}
	streams := origin.NewStreamLog(origin.StreamLogConfig{
		Log: store.Log(platform.TopicStreams), IsShared: n.releaseGate.IsShared, Nodes: n.nodes, Spacing: n.releaseReadSpacing,
		Retention: n.resumeTime, Now: n.clock.Now, Logger: n.log,
	})
	n.origins = origin.New(origin.Config{
		Conn: n.conn, Self: self, WasListed: n.roster.listedAtStart, Retention: n.resumeTime, Sole: n.releaseGate.Sole,
		Releases: releases, Streams: streams, Now: n.clock.Now, Log: n.log,
	})
	n.releaseRecorder = origin.NewRecorder(origin.RecorderConfig{
		Node: boot.Name, Topic: topic, Releases: releases, Observer: n.registry.releases, LearnReleases: n.origins.LearnReleases, Peers: n.roster.Others,
		Services: n.recordedServices, Retention: n.resumeTime, Random: rand.Int64N, Now: n.clock.Now, Log: n.log,
	})
}

// releaseReadSpacing returns the least time between two reads that confirm the records of releases.
func (n *Node) releaseReadSpacing() time.Duration { return intervals.ConfirmInterval(n.nodes()) }

// originPeers returns the other nodes among the listed ones.
func (n *Node) originPeers(listed []peerload.Peer) []origin.Peer {
	peers := make([]origin.Peer, 0, len(listed))
	for _, p := range listed {
		addr, err := netip.ParseAddrPort(p.Addr)
		if err == nil && p.Node != n.roster.node {
			peers = append(peers, origin.Peer{Name: p.Node, Domain: p.Domain, Addr: addr})
		}
	}
	return peers
}

// resumeTime returns the longest time between the first event of a stream and the last request that
// resumes it.
func (n *Node) resumeTime() time.Duration {
	config := n.state.config.Load()
	if config == nil {
		return unknownResumeTime
	}
	return max(minResumeTime, resumeFactor*config.LongestStream())
}

// isIsolated reports whether this node hears of none of the other nodes that it lists.
func (n *Node) isIsolated() bool {
	return n.nodes() > 1 && !n.peers.Table.ReceivedFromAny(n.clock.Now(), peerTimeout)
}

// recordedServices returns the services whose releases are recorded: all that have endpoints, so that a change of the
// configuration by which streams of one may be resumed finds them recorded.
func (n *Node) recordedServices() []string {
	config := n.state.config.Load()
	if config == nil {
		return nil
	}
	names := make([]string, 0, len(config.Services))
	for i := range config.Services {
		names = append(names, config.Services[i].Name)
	}
	return names
}

// resumableServices returns the services whose streams may be resumed.
func (n *Node) resumableServices() []string {
	config := n.state.config.Load()
	if config == nil {
		return nil
	}
	return config.ResumableServices()
}
