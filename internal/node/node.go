// Package node assembles the services of one cherryward node.
package node

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/member"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/calls"
	"github.com/cherryward/cherryward/internal/cluster"
	"github.com/cherryward/cherryward/internal/configsync"
	"github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/entry"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/limits"
	"github.com/cherryward/cherryward/internal/logservice"
	"github.com/cherryward/cherryward/internal/owner"
	"github.com/cherryward/cherryward/internal/rollout"
	"github.com/cherryward/cherryward/internal/router"
	"github.com/cherryward/cherryward/internal/settings"
	"github.com/cherryward/cherryward/internal/telemetry"
)

// Node is one node. Its listeners are open once New returns; Run serves requests.
type Node struct {
	kernel    *kernel.Kernel
	cluster   *cluster.Cluster
	entry     *entry.Service
	operators *operators
}

// New opens the node's listeners and registers its services. Connections are not
// served before Run.
func New(s *settings.Settings, log zerolog.Logger) (*Node, error) {
	p, err := newShared(s, log.With().Str("node", s.Node.ID).Logger())
	if err != nil {
		return nil, err
	}
	n := &Node{kernel: kernel.New(time.Duration(s.Node.StopTimeout))}
	if n.cluster, err = cluster.New(s, p.tls.peers, p.tls.dial, p.log); err != nil {
		return nil, err
	}
	if n.operators, err = newOperators(s, p.tls.operators, p.log); err != nil {
		return nil, err
	}
	if n.entry, err = p.newEntry(); err != nil {
		return nil, err
	}
	internal, err := p.internalServices()
	if err != nil {
		return nil, err
	}
	p.metrics.WatchPeers(n.cluster.Traffic)
	p.metrics.WatchMembers(n.cluster.Members)
	return n, n.register(append(internal, n.cluster, n.entry, n.operators)...)
}

func (n *Node) register(services ...kernel.Service) error {
	for _, s := range services {
		if err := n.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

// shared holds the dependencies that several services of a node use.
type shared struct {
	settings  *settings.Settings
	tls       *tlsConfigs
	log       zerolog.Logger
	metrics   *telemetry.Metrics
	engines   *engine.Client
	salter    *kvcache.Salter
	retries   budget
	admission *limits.Service
}

func newShared(s *settings.Settings, log zerolog.Logger) (*shared, error) {
	tls, err := loadTLS(s)
	if err != nil {
		return nil, err
	}
	salter, err := kvcache.NewSalter([]byte(s.Peers.Key))
	if err != nil {
		return nil, err
	}
	return &shared{
		settings:  s,
		tls:       tls,
		log:       log,
		metrics:   telemetry.New(),
		engines:   engine.NewClient(),
		salter:    salter,
		retries:   newBudget(),
		admission: limits.New(s.Limits.MaxNodes, log),
	}, nil
}

// internalServices returns the services that have no listener of their own.
func (p *shared) internalServices() ([]kernel.Service, error) {
	s := p.settings
	config := configsync.New(s.Node.ID, logservice.NewLog(s.Log.URL, s.Log.Stream), time.Duration(s.Requests.MaxConfigAge), p.log)
	rollouts, err := rollout.New(s.Node.ID, logservice.NewLog(s.Log.URL, s.Log.Stream+rollout.ClaimsSuffix), engine.WeightsClient{Client: p.engines}, p.log)
	if err != nil {
		return nil, err
	}
	placer, err := router.New(time.Duration(s.Requests.EstimateTimeout), p.metrics.CountRunWithoutGrant, p.log)
	if err != nil {
		return nil, err
	}
	ticketed, err := calls.New([]byte(s.Peers.Key), p.retries, p.log)
	if err != nil {
		return nil, err
	}
	owners := owner.New(p.engines, p.salter, time.Duration(s.KeptContext.ExportAfter), p.metrics.AddExportedBytes, p.log)
	p.metrics.WatchConfig(config.Status)
	p.metrics.WatchRollout(rollouts.Counters, rollouts.Appends)
	p.metrics.WatchOwned(func() []*pb.EndpointStatus {
		return owners.StatusOf(context.Background(), member.Member{ID: s.Node.ID})
	})
	return []kernel.Service{config, owners, rollouts, placer, ticketed, p.admission}, nil
}

func (p *shared) newEntry() (*entry.Service, error) {
	server := &entry.Server{
		Limits:    p.settings.Requests,
		Recorder:  p.metrics,
		Admission: p.admission,
		Metrics:   p.metrics.ServeHTTP,
		Key:       []byte(p.settings.Peers.Key),
		Salter:    p.salter,
		Log:       p.log.With().Str("service", entry.Name).Logger(),
	}
	return entry.Listen(p.settings, p.tls.callers, server, p.engines, p.retries)
}

// Run serves until ctx is done or a service fails, then stops the services in reverse
// order within the stop timeout.
func (n *Node) Run(ctx context.Context) error { return n.kernel.Run(ctx) }

// CallersAddr returns the address that callers connect to.
func (n *Node) CallersAddr() net.Addr { return n.entry.Addr() }

// OperatorsAddr returns the address that operators connect to.
func (n *Node) OperatorsAddr() net.Addr { return n.operators.listener.Addr() }

// PeersAddr returns the address that other nodes connect to.
func (n *Node) PeersAddr() string { return n.cluster.Self().Addr }

// budget limits the retries of all requests of the node.
type budget struct {
	tokens *retry.Budget
}

func newBudget() budget {
	return budget{tokens: retry.NewBudget(time.Now(), retry.DefaultBudget)}
}

// Succeeded implements runs.Budget.
func (b budget) Succeeded() { b.tokens.Deposit(time.Now()) }

// Retry implements runs.Budget.
func (b budget) Retry() bool { return b.tokens.Withdraw(time.Now()) }
