package gateway

import (
	"github.com/cherryward/cherryward/internal/canary"
	"github.com/cherryward/cherryward/platform"
)

// defaultExposureShare is the share of a service's requests that a release on trial gets if the
// operators set no bound.
const defaultExposureShare = 0.1

// buildReleases creates the service that carries out orders to move services to other releases.
func (n *Node) buildReleases(store *platform.Store) {
	gate := n.state.releases
	gate.ExposureShare = defaultExposureShare
	if share := n.bounds().ExposureShare; share > 0 {
		gate.ExposureShare = share
	}
	gate.PhasesKnown = n.roster.Loaded
	n.releases = canary.New(canary.Config{
		Node: n.boot.Load().Name, Gate: gate, Conn: n.conn, Peers: n.roster.Peers,
		Topic: store.Topic(platform.TopicNodes), TopicEnd: n.roster.End,
		WriteStatus: store.WriteReleaseStatus, InFlight: n.inFlightAtOthers, Isolated: n.isIsolated, Now: n.clock.Now, Log: n.log,
	})
	n.roster.applyPhaseRecord = n.releases.Apply
}

// inFlightAtOthers returns the number of this node's requests at endpoints of a service whose release is
// not the given one.
func (n *Node) inFlightAtOthers(service, release string) int {
	count := 0
	for _, m := range n.fleet.Members(service) {
		if m.Endpoint().Release != release {
			count += m.Load.Running()
		}
	}
	return count
}
