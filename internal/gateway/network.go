package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/reach"
	"github.com/cherryward/cherryward/internal/upstream"
)

const (
	// probeInterval is the time between two checks whether probes are due.
	probeInterval = 50 * time.Millisecond
	// minAttempt is the shortest attempt to connect whose timeout is evidence against a path. A
	// shorter one may have been cut by the deadline of its request.
	minAttempt = 200 * time.Millisecond
)

// network opens this node's connections to endpoints and KV-cache stores, and tracks which services it
// reaches.
type network struct {
	connect upstream.DialFunc
	clock   *clock.Clock
	fleet   *fleet.Fleet
	paths   reach.Tracker
	log     zerolog.Logger
}

func newNetwork(host Host, f *fleet.Fleet, log zerolog.Logger) *network {
	n := &network{connect: host.Connect, clock: host.Clock, fleet: f, log: log}
	n.paths.OnChange = n.logChange
	return n
}

// Connect implements upstream.DialFunc.
func (n *network) Connect(ctx context.Context, network, addr string) (net.Conn, error) {
	began := time.Now()
	conn, err := n.connect(ctx, network, addr)
	if service := n.fleet.ServiceAt(addr); service != "" {
		n.record(ctx, service, addr, time.Since(began), err)
	}
	return conn, err
}

// record records an attempt to connect that took the given time. One that this node ended itself is no
// evidence.
func (n *network) record(ctx context.Context, service, addr string, took time.Duration, err error) {
	switch {
	case err == nil:
		n.paths.RecordSuccess(service, n.clock.Now())
	case errors.Is(ctx.Err(), context.Canceled):
	case errors.Is(err, os.ErrDeadlineExceeded) && took < minAttempt:
	default:
		n.paths.RecordFailure(service, addr, len(n.fleet.Members(service)), n.clock.Now())
	}
}

func (n *network) logChange(c reach.Change) {
	n.log.Warn().Str("event", "path").Str("service", c.Service).Stringer("state", c.To).Stringer("before", c.From).
		Int("failed", c.Failed).Int64("lasted_ms", c.Lasted.Milliseconds()).Send()
}

// probe carries out the rounds of probes that are due, until ctx is done.
func (n *network) probe(ctx context.Context) error {
	var rounds sync.WaitGroup
	defer rounds.Wait()
	for ctx.Err() == nil {
		for {
			round, due := n.paths.BeginRound(n.clock.Now())
			if !due {
				break
			}
			rounds.Go(func() { n.probeRound(ctx, round) })
		}
		retry.Sleep(ctx, probeInterval)
	}
	return nil
}

// probeRound probes several endpoints of a service at the same time.
func (n *network) probeRound(ctx context.Context, round reach.Round) {
	members := n.fleet.Members(round.Service)
	byAddr := make(map[string]*fleet.Member, len(members))
	targets := make([]reach.Target, 0, len(members))
	for _, m := range members {
		e := m.Endpoint()
		byAddr[e.Addr] = m
		targets = append(targets, reach.Target{Addr: e.Addr, Domain: e.Domain})
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	chosen := n.paths.Targets(round, targets)
	var probes sync.WaitGroup
	for _, target := range chosen {
		// The result is recorded by Connect.
		probes.Go(func() { _ = byAddr[target.Addr].Pool.Probe(ctx) })
	}
	probes.Wait()
	n.paths.EndRound(round, len(chosen), n.clock.Now())
}
