package gateway

import (
	"context"

	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/platform"
)

// registerServices registers all services with the kernel.
func (n *Node) registerServices(store *platform.Store, source BootSource) error {
	needed := n.requestTasks(store, source)
	for _, t := range needed {
		n.helperServer.needs = append(n.helperServer.needs, t.name)
		n.callers.needs = append(n.callers.needs, t.name)
	}
	n.callers.needs = append(n.callers.needs, n.readyServer.name)
	// Among the servers, the last is stopped first: requests of other nodes that are in progress go on meanwhile.
	services := []kernel.Service{n.readyServer, n.helperServer, n.callers}
	for _, t := range append(needed, n.backgroundTasks()...) {
		services = append(services, t)
	}
	return n.register(services...)
}

// requestTasks are the tasks that run until no request is in progress. For them requests depend on what other
// nodes, the operators and the endpoints tell, or they tell others of these requests.
func (n *Node) requestTasks(store *platform.Store, source BootSource) []*task {
	followers := n.followers(store)
	return []*task{
		{name: "config", run: followers.config.Run},
		{name: "registry", run: followers.endpoints.Run},
		{name: "roster", run: followers.nodes.Run},
		{name: "messages", run: n.conn.Run},
		{name: "probes", run: n.network.probe},
		{name: "idle-connections", run: n.network.checkIdle},
		{name: "peers", run: n.peers.Run},
		{name: "pace", run: n.observePace},
		{name: "quarantine", run: n.quarantine.Run},
		{name: "releases", run: n.releases.Run},
		{name: "origins", run: n.origins.Run},
		{name: "kept", run: n.cacheTracker.follow},
		{name: "events", run: n.cachePeers.Run},
		{name: "reload", run: func(ctx context.Context) error { return n.reload(ctx, source) }},
		{name: "memory", run: tuneCollections},
		{name: "suspension", run: n.watchSuspension},
	}
}

// backgroundTasks are the tasks that end as soon as the node is told to stop: other nodes take over what they do,
// or it serves a later time.
func (n *Node) backgroundTasks() []*task {
	return []*task{
		{name: "orders", run: n.orders.Run},
		{name: "announce", run: n.roster.announce},
		{name: "release-records", run: n.releaseRecorder.Run},
		{name: "start-log", run: n.startLog.watch},
		{name: "sweep", run: newSweeper(n).run},
		{name: "free", run: n.cacheTracker.free},
	}
}

func (n *Node) register(services ...kernel.Service) error {
	for _, s := range services {
		if err := n.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}
