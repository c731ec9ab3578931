package gateway

import (
	"context"

	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/platform"
)

// requestServices are the services that run until no request is in progress: they tell the other nodes what
// requests depend on, and hear it from them and from the operators.
var requestServices = []string{"config", "registry", "roster", "messages", "probes", "peers", "quarantine", "releases", "origins", "reload"}

// registerServices registers all services with the kernel.
func (n *Node) registerServices(store *platform.Store, source BootSource) error {
	followers := n.followers(store)
	// Among the servers, the last is stopped first: requests of other nodes that are in progress go on meanwhile.
	return n.register(n.readyServer, n.helperServer, n.callers,
		&task{name: "config", run: followers.config.Run},
		&task{name: "registry", run: followers.endpoints.Run},
		&task{name: "roster", run: followers.nodes.Run},
		&task{name: "orders", run: n.orders.Run},
		&task{name: "messages", run: n.conn.Run},
		&task{name: "probes", run: n.network.probe},
		&task{name: "peers", run: n.peers.Run},
		&task{name: "pace", run: n.observePace},
		&task{name: "announce", run: n.roster.announce},
		&task{name: "quarantine", run: n.quarantine.Run},
		&task{name: "releases", run: n.releases.Run},
		&task{name: "origins", run: n.origins.Run},
		&task{name: "release-records", run: n.releaseRecorder.Run},
		&task{name: "memory", run: tuneCollections},
		&task{name: "suspension", run: n.watchSuspension},
		&task{name: "start-log", run: n.startLog.watch},
		&task{name: "sweep", run: newSweeper(n).run},
		&task{name: "reload", run: func(ctx context.Context) error { return n.reload(ctx, source) }},
		&task{name: "kept", run: n.cacheTracker.follow},
		&task{name: "events", run: n.cachePeers.Run},
		&task{name: "free", run: n.cacheTracker.free},
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
