// Package configsync keeps a node's configuration up to date with the log. It connects
// the replicated changelog, the typed configuration and the calls between nodes.
package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/coord/member"
	"github.com/cherryward/cherryward/internal/cluster"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/result"
)

// Name is the service's name in the kernel.
const Name = "config"

const (
	methodNotify   = "config.notify"
	methodRecords  = "config.records"
	methodSnapshot = "config.snapshot"
	methodStatus   = "config.status"

	// callTimeout is the timeout of one call to a peer.
	callTimeout = 2 * time.Second
	// The checkpoint intervals are much shorter than the log's retention of one day:
	// 2,000 changes take about 50 minutes at 57,000 changes a day.
	checkpointChanges  = 2000
	checkpointInterval = time.Hour
	// maxSilence is the maximum time that a node serves without contact with the log
	// or any other node.
	maxSilence = 30 * time.Second
)

// Sync is the configuration service.
type Sync struct {
	cluster        *cluster.Cluster
	changelogStore *changelog.Store[config.Value]
	follower       *changelog.Follower[config.Value]
	replica        *config.Replica
	configStore    *config.Store
	hasCaughtUp    atomic.Bool // configStore has caught up with the log once; see caughtUp
	log            zerolog.Logger
}

var (
	_ kernel.Service  = (*Sync)(nil)
	_ kernel.Runner   = (*Sync)(nil)
	_ config.Proposer = (*Sync)(nil)
	_ changelog.Peers = (*Sync)(nil)
)

// New returns the service of the node self for one stream of the log. maxStale is the age of
// the configuration after which the node accepts no new work.
func New(self string, log changelog.Log, maxStale time.Duration, logger zerolog.Logger) *Sync {
	s := &Sync{
		changelogStore: changelog.NewStore[config.Value](log, config.Schema{}, 0),
		configStore:    config.NewStore(),
		log:            logger.With().Str("service", Name).Logger(),
	}
	s.replica = config.NewReplica(s.changelogStore, s.configStore)
	s.follower = changelog.NewFollower(s.changelogStore, s, changelog.Options{
		Self:          self,
		Checkpoint:    changelog.CheckpointPolicy{Changes: checkpointChanges, Interval: checkpointInterval},
		MaxLogAge:     maxStale,
		MaxContactAge: maxStale,
		Rand:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	return s
}

// Name implements kernel.Service.
func (s *Sync) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Sync) Needs() []string { return []string{cluster.Name} }

// Start implements kernel.Service.
func (s *Sync) Start(_ context.Context, k *kernel.Kernel) error {
	c, err := kernel.Lookup[*cluster.Cluster](k, cluster.Name)
	if err != nil {
		return err
	}
	s.cluster = c
	peers.Handle(c.Server, methodNotify, s.serveNotify)
	peers.Handle(c.Server, methodRecords, s.serveRecords)
	peers.Handle(c.Server, methodSnapshot, s.serveSnapshot)
	peers.Handle(c.Server, methodStatus, s.serveStatus)
	return nil
}

// Run implements kernel.Runner.
func (s *Sync) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.follower.Run(ctx) })
	return s.replica.Run(ctx)
}

// ConfigStore returns the typed configuration.
func (s *Sync) ConfigStore() *config.Store { return s.configStore }

// View returns the newest typed configuration.
func (s *Sync) View() *config.View { return s.configStore.View() }

// Status returns the state and age of the configuration. It is also stale while the
// node is isolated.
func (s *Sync) Status() changelog.FollowerStatus {
	status := s.follower.Status()
	status.Stale = status.Stale || s.isolated(status.ContactAge)
	return status
}

// Ready returns the reason why this node can't accept new work, or nil.
func (s *Sync) Ready() *result.Error {
	status := s.Status()
	if !status.Ready || !s.caughtUp(max(status.Applied, status.NewestKnown)) {
		return result.New(result.NodeStale, result.WithMessage("the node has no configuration yet"))
	}
	if status.Stale {
		return result.New(result.NodeStale)
	}
	return nil
}

// isolated reports whether the node has had no contact with the log or any other node
// for maxSilence, while the platform lists other nodes. The configuration may then have
// changed without this node's knowledge. A single node only depends on the log, and
// continues to serve during an outage of it.
func (s *Sync) isolated(contactAge time.Duration) bool {
	return contactAge > maxSilence && s.cluster.Listed().Len() > 1
}

// caughtUp reports whether the typed configuration, which requests are served with, has
// reached an offset once since the start. Before that it lacks the latest changes, so
// that requests could fail for a missing account or model.
func (s *Sync) caughtUp(offset int64) bool {
	if !s.hasCaughtUp.Load() && s.configStore.View().Applied() >= offset {
		s.hasCaughtUp.Store(true)
	}
	return s.hasCaughtUp.Load()
}

// Propose implements config.Proposer.
func (s *Sync) Propose(ctx context.Context, c config.Change) (config.Outcome, error) {
	return s.replica.Propose(ctx, c)
}

// Members implements changelog.Peers.
func (s *Sync) Members() []string {
	if s.cluster == nil {
		return nil
	}
	view := s.cluster.Members()
	names := make([]string, 0, len(view.Members))
	for _, m := range view.Members {
		if m.State != member.Dead && (m.Incarnation != 0 || m.ID == s.cluster.Self().ID) {
			names = append(names, m.ID)
		}
	}
	return names
}
