package node

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"net"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/member"
	"github.com/cherryward/cherryward/internal/cluster"
	"github.com/cherryward/cherryward/internal/configsync"
	"github.com/cherryward/cherryward/internal/kernel"
	"github.com/cherryward/cherryward/internal/operator"
	"github.com/cherryward/cherryward/internal/owner"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/router"
	"github.com/cherryward/cherryward/internal/settings"
)

const (
	operatorsName = "operators"
	// maxConcurrentQueries is the maximum number of nodes queried at the same time.
	maxConcurrentQueries = 32
)

// operators serves the operators' API and collects the state it reports from all nodes.
type operators struct {
	hash     [sha256.Size]byte
	listener net.Listener
	log      zerolog.Logger

	server  *operator.Server
	cluster *cluster.Cluster
	config  *configsync.Sync
	router  *router.Router
	owner   *owner.Service
}

var (
	_ kernel.Service          = (*operators)(nil)
	_ kernel.Runner           = (*operators)(nil)
	_ operator.Nodes          = (*operators)(nil)
	_ operator.StatusReporter = (*operators)(nil)
)

func newOperators(s *settings.Settings, config *tls.Config, log zerolog.Logger) (*operators, error) {
	hash, err := hex.DecodeString(s.Operators.KeyHash)
	if err != nil || len(hash) != sha256.Size {
		return nil, eris.New("operators' key hash is not a hex-encoded SHA-256 hash")
	}
	l, err := net.Listen("tcp", s.Operators.Address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for operators")
	}
	if config != nil {
		l = tls.NewListener(l, config)
	}
	return &operators{hash: [sha256.Size]byte(hash), listener: l, log: log.With().Str("service", operatorsName).Logger()}, nil
}

// Name implements kernel.Service.
func (o *operators) Name() string { return operatorsName }

// Needs implements kernel.Service.
func (o *operators) Needs() []string {
	return []string{cluster.Name, configsync.Name, router.Name, owner.Name}
}

// Start implements kernel.Service.
func (o *operators) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if o.cluster, err = kernel.Lookup[*cluster.Cluster](k, cluster.Name); err != nil {
		return err
	}
	if o.config, err = kernel.Lookup[*configsync.Sync](k, configsync.Name); err != nil {
		return err
	}
	if o.router, err = kernel.Lookup[*router.Router](k, router.Name); err != nil {
		return err
	}
	if o.owner, err = kernel.Lookup[*owner.Service](k, owner.Name); err != nil {
		return err
	}
	o.server = operator.New(operator.Options{
		CredentialHash: o.hash,
		Configuration:  o.config.ConfigStore(),
		Proposer:       o.config,
		Nodes:          o,
		Reporter:       o,
		Log:            o.log,
	})
	return nil
}

// Run implements kernel.Runner.
func (o *operators) Run(ctx context.Context) error { return o.server.Serve(ctx, o.listener) }

// Applied implements operator.Nodes.
func (o *operators) Applied(ctx context.Context) ([]operator.NodeApplied, error) {
	members := o.cluster.Members().Members
	out := make([]operator.NodeApplied, len(members))
	o.forEach(members, func(i int, m member.Member) {
		out[i] = operator.NodeApplied{ID: m.ID, Live: live(m)}
		if !out[i].Live {
			return
		}
		status, err := o.config.PeerStatus(ctx, m.ID)
		if err == nil {
			out[i].Applied = status.Applied
		}
	})
	return out, nil
}

// live reports whether a member is in any state but Dead. A member that the platform lists
// but no node has contacted yet counts as live, since it may be serving requests.
func live(m member.Member) bool { return m.State != member.Dead }

// forEach calls f for all members concurrently, at most maxConcurrentQueries at a time,
// and returns when all calls have returned.
func (o *operators) forEach(members []member.Member, f func(i int, m member.Member)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxConcurrentQueries)
	for i, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(i, m)
		})
	}
}

// Status implements operator.StatusReporter.
func (o *operators) Status(ctx context.Context) (*pb.StatusResponse, error) {
	members := o.cluster.Members().Members
	nodes := make([]*pb.NodeStatus, len(members))
	endpointsByNode := make([][]*pb.EndpointStatus, len(members))
	o.forEach(members, func(i int, m member.Member) {
		nodes[i] = o.nodeStatus(ctx, m)
		if live(m) {
			endpointsByNode[i] = o.owner.StatusOf(ctx, m)
		}
	})
	endpoints := slices.Concat(endpointsByNode...)
	slices.SortFunc(endpoints, func(a, b *pb.EndpointStatus) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return &pb.StatusResponse{Node: o.cluster.Self().ID, Nodes: nodes, Endpoints: endpoints}, nil
}

func (o *operators) nodeStatus(ctx context.Context, m member.Member) *pb.NodeStatus {
	out := &pb.NodeStatus{
		Id:            m.ID,
		Address:       m.Addr,
		FailureDomain: m.Domain,
		State:         m.State.String(),
		Incarnation:   m.Incarnation,
	}
	if !live(m) {
		return out
	}
	status, err := o.config.PeerStatus(ctx, m.ID)
	if err != nil {
		out.State += ", not answering"
		return out
	}
	out.Applied, out.Stale = status.Applied, status.Stale
	return out
}

// Explain implements operator.StatusReporter.
func (o *operators) Explain(_ context.Context, requestID string) (*pb.ExplainRequestResponse, error) {
	choice, ok := o.router.Explain(requestID)
	if !ok {
		return nil, result.New(result.UnknownRequest, result.WithField("request_id"))
	}
	out := &pb.ExplainRequestResponse{RequestId: requestID, Chosen: choice.Endpoint}
	for _, c := range choice.Candidates {
		out.Candidates = append(out.Candidates, &pb.Candidate{
			Endpoint:        c.Endpoint,
			CostSeconds:     c.Cost,
			WaitSeconds:     c.Wait.Seconds(),
			RecomputeTokens: int32(c.Recompute),
			ImportBytes:     c.Import.Bytes,
			Reason:          c.Verdict.String(),
		})
	}
	return out, nil
}
