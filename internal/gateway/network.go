package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/clock"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/reach"
	"github.com/cherryward/cherryward/internal/upstream"
	"github.com/cherryward/cherryward/internal/weights"
)

const (
	// probeInterval is the time between two checks whether probes are due.
	probeInterval = 50 * time.Millisecond
	// minAttempt is the shortest attempt to connect whose timeout is evidence against a path. A
	// shorter one may have been cut by the deadline of its request.
	minAttempt = 200 * time.Millisecond
	// askTimeout is how long other nodes have to answer a question about an endpoint: a question, an
	// attempt to connect of 300 ms at most, and a reply.
	askTimeout = 500 * time.Millisecond
	// idleCheckInterval is the time between two checks of the idle connections. What an endpoint sends on one until
	// the next check stays in the buffers of the connection.
	idleCheckInterval = time.Second
	// maxAsked is the number of endpoints of an unreachable service that other nodes are asked about.
	maxAsked = 3
)

// network opens this node's connections to endpoints and KV-cache stores, and tracks which services it
// reaches.
type network struct {
	connect upstream.DialFunc
	clock   *clock.Clock
	fleet   *fleet.Fleet
	paths   reach.Tracker
	asker   reach.Asker
	log     zerolog.Logger

	// lost holds the services to which this node has lost the path though others reach them, from the
	// time that was found until the path is back.
	lost sync.Map
}

var (
	_ forward.Paths = (*network)(nil)
	_ weights.Paths = (*network)(nil)
)

func newNetwork(host Host, f *fleet.Fleet, log zerolog.Logger) *network {
	n := &network{connect: host.Connect, clock: host.Clock, fleet: f, log: log}
	n.paths.OnChange = n.handleChange
	return n
}

// askThrough lets the node ask the given peers whether they reach an endpoint, and answer their questions.
func (n *network) askThrough(conn reach.Conn, peers func() []netip.AddrPort) {
	n.asker.Conn, n.asker.Peers, n.asker.Probe = conn, peers, n.probeForPeer
	n.asker.Serve()
}

// Connect implements upstream.DialFunc.
func (n *network) Connect(ctx context.Context, network, addr string) (net.Conn, error) {
	began := time.Now()
	conn, err := n.connect(ctx, network, addr)
	if m := n.fleet.At(addr); m != nil {
		n.record(ctx, m.Service, addr, time.Since(began), err)
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

// checkIdle closes idle connections that no request may use any more, at each idleCheckInterval until ctx is done.
func (n *network) checkIdle(ctx context.Context) error {
	for retry.Sleep(ctx, idleCheckInterval) {
		n.fleet.CloseUnusableConnections()
	}
	return nil
}

// handleChange logs a change of a path, and has it found out whether other nodes reach a service that
// this one doesn't.
func (n *network) handleChange(c reach.Change) {
	switch c.To {
	case reach.Unreachable:
		go n.findLostPath(c.Service)
	case reach.Reachable:
		if _, lost := n.lost.LoadAndDelete(c.Service); lost {
			n.fleet.ForgetFailures(c.Service)
		}
	}
	n.log.Warn().Str("event", "path").Str("service", c.Service).Stringer("state", c.To).Stringer("before", c.From).
		Int("failed", c.Failed).Int64("lasted_ms", c.Lasted.Milliseconds()).Send()
}

// State implements forward.Paths.
func (n *network) State(service string) reach.State { return n.paths.State(service) }

// Ended implements forward.Paths. While this node may have lost the path to the endpoint's service, other
// nodes are asked. If none of them replies, its own attempt decides.
func (n *network) Ended(m *fleet.Member) bool {
	if !m.Ended() {
		return false
	}
	if n.paths.State(m.Service) == reach.Reachable {
		return true
	}
	return !n.ConnectsElsewhere(m)
}

// LostService implements weights.Paths.
func (n *network) LostService(service string) bool {
	return n.paths.State(service) == reach.Unreachable
}

// Connects implements weights.Paths.
func (n *network) Connects(m *fleet.Member) bool { return m.Pool.Probe(context.Background()) == nil }

// ConnectsElsewhere implements weights.Paths.
func (n *network) ConnectsElsewhere(m *fleet.Member) bool {
	return n.ask(m.Endpoint().Addr) == reach.Connected
}

// ask asks other nodes whether they can connect to an endpoint.
func (n *network) ask(addr string) reach.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	return n.asker.Ask(ctx, addr)
}

// findLostPath asks other nodes about some endpoints of an unreachable service. If they reach any, this
// node has lost the path, and its failed attempts say nothing of the endpoints.
func (n *network) findLostPath(service string) {
	targets := n.targets(service)
	for _, target := range targets[:min(maxAsked, len(targets))] {
		outcome := n.ask(target.Addr)
		n.log.Info().Str("event", "path_asked").Str("service", service).Str("addr", target.Addr).Stringer("outcome", outcome).Send()
		if outcome != reach.Connected {
			continue
		}
		if n.paths.State(service) == reach.Unreachable {
			n.lost.Store(service, true)
			n.fleet.ForgetFailures(service)
		}
		return
	}
}

// probeForPeer connects to an endpoint because another node asks.
func (n *network) probeForPeer(ctx context.Context, addr string) reach.Outcome {
	m := n.fleet.At(addr)
	if m == nil {
		return reach.Unknown
	}
	switch err := m.Pool.Probe(ctx); {
	case err == nil:
		return reach.Connected
	case errors.Is(err, syscall.ECONNREFUSED):
		return reach.Refused
	}
	return reach.Unknown
}

// targets returns the endpoints of a service in random order.
func (n *network) targets(service string) []reach.Target {
	members := n.fleet.Members(service)
	targets := make([]reach.Target, 0, len(members))
	for _, m := range members {
		e := m.Endpoint()
		targets = append(targets, reach.Target{Addr: e.Addr, Domain: e.Domain})
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets
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
	chosen := n.paths.Targets(round, n.targets(round.Service))
	var probes sync.WaitGroup
	for _, target := range chosen {
		if m := n.fleet.At(target.Addr); m != nil {
			probes.Go(func() { _ = m.Pool.Probe(ctx) }) // the result is recorded by Connect
		}
	}
	probes.Wait()
	n.paths.EndRound(round, len(chosen), n.clock.Now())
}
