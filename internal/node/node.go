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

// Node is a cherryward node with all of its services. Its listeners are open once New
// returns; Run serves requests.
type Node struct {
	kernel    *kernel.Kernel
	cluster   *cluster.Cluster
	entry     *entry.Service
	operators *operators
}

// New opens the node's listeners and registers its services. Connections are not
// served before Run.
func New(s *settings.Settings, log zerolog.Logger) (*Node, error) {
	deps, err := newDependencies(s, log.With().Str("node", s.Node.ID).Logger())
	if err != nil {
		return nil, err
	}
	n := &Node{kernel: kernel.New(time.Duration(s.Node.StopTimeout))}
	if n.cluster, err = cluster.New(s, deps.tls.peers, deps.tls.dial, deps.log); err != nil {
		return nil, err
	}
	if n.operators, err = newOperators(s, deps.tls.operators, deps.log); err != nil {
		return nil, err
	}
	if n.entry, err = deps.newEntry(); err != nil {
		return nil, err
	}
	internal, err := deps.internalServices()
	if err != nil {
		return nil, err
	}
	deps.metrics.WatchPeers(n.cluster.Traffic)
	deps.metrics.WatchMembers(n.cluster.Members)
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

// dependencies holds what several services of a node use.
type dependencies struct {
	settings  *settings.Settings
	tls       *tlsConfigs
	log       zerolog.Logger
	metrics   *telemetry.Metrics
	engines   *engine.Client
	salter    *kvcache.Salter
	retries   retryBudget
	admission *limits.Service
}

func newDependencies(s *settings.Settings, log zerolog.Logger) (*dependencies, error) {
	tls, err := loadTLS(s)
	if err != nil {
		return nil, err
	}
	salter, err := kvcache.NewSalter([]byte(s.Peers.Key))
	if err != nil {
		return nil, err
	}
	return &dependencies{
		settings:  s,
		tls:       tls,
		log:       log,
		metrics:   telemetry.New(),
		engines:   engine.NewClient(),
		salter:    salter,
		retries:   newRetryBudget(),
		admission: limits.New(s.Limits.MaxNodes, log),
	}, nil
}

// internalServices returns the services that have no listener of their own.
func (d *dependencies) internalServices() ([]kernel.Service, error) {
	s := d.settings
	config := configsync.New(s.Node.ID, logservice.NewLog(s.Log.URL, s.Log.Stream), time.Duration(s.Requests.MaxConfigAge), d.log)
	rollouts, err := rollout.New(s.Node.ID, logservice.NewLog(s.Log.URL, s.Log.Stream+rollout.ClaimsSuffix), engine.WeightsClient{Client: d.engines}, d.log)
	if err != nil {
		return nil, err
	}
	requestRouter, err := router.New(time.Duration(s.Requests.EstimateTimeout), d.metrics.CountRunWithoutGrant, d.log)
	if err != nil {
		return nil, err
	}
	callsService, err := calls.New([]byte(s.Peers.Key), d.retries, d.log)
	if err != nil {
		return nil, err
	}
	owners := owner.New(d.engines, d.salter, time.Duration(s.KeptContext.ExportAfter), d.metrics.AddExportedBytes, d.log)
	d.metrics.WatchConfig(config.Status)
	d.metrics.WatchRollout(rollouts.Counters, rollouts.Appends)
	d.metrics.WatchOwned(func() []*pb.EndpointStatus {
		return owners.StatusOf(context.Background(), member.Member{ID: s.Node.ID})
	})
	return []kernel.Service{config, owners, rollouts, requestRouter, callsService, d.admission}, nil
}

func (d *dependencies) newEntry() (*entry.Service, error) {
	server := &entry.Server{
		Limits:    d.settings.Requests,
		Recorder:  d.metrics,
		Admission: d.admission,
		Metrics:   d.metrics.ServeHTTP,
		Key:       []byte(d.settings.Peers.Key),
		Salter:    d.salter,
		Log:       d.log.With().Str("service", entry.Name).Logger(),
	}
	return entry.Listen(d.settings, d.tls.callers, server, d.engines, d.retries)
}

// Run serves until ctx is done or the Run of a service returns, and then stops the services
// in reverse order. The stop timeout applies to their Stop methods.
func (n *Node) Run(ctx context.Context) error { return n.kernel.Run(ctx) }

// CallersAddr returns the address that callers connect to.
func (n *Node) CallersAddr() net.Addr { return n.entry.Addr() }

// OperatorsAddr returns the address that operators connect to.
func (n *Node) OperatorsAddr() net.Addr { return n.operators.listener.Addr() }

// PeersAddr returns the address that other nodes connect to.
func (n *Node) PeersAddr() string { return n.cluster.Self().Addr }

// retryBudget limits the retries of all requests of the node.
type retryBudget struct {
	tokens *retry.Budget
}

func newRetryBudget() retryBudget {
	return retryBudget{tokens: retry.NewBudget(time.Now(), retry.DefaultBudget)}
}

// Succeeded implements runs.Budget.
func (b retryBudget) Succeeded() { b.tokens.Deposit(time.Now()) }

// Retry implements runs.Budget.
func (b retryBudget) Retry() bool { return b.tokens.Withdraw(time.Now()) }
