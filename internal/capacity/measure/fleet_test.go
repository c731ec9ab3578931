package measure

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/cherryward/cherryward/api/wire/hostwire"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/demo"
	"github.com/cherryward/cherryward/internal/settings"
	"github.com/cherryward/cherryward/standin/engine"
	"github.com/cherryward/cherryward/standin/store"
)

const (
	readyPoll    = 50 * time.Millisecond
	storeBytes   = 1 << 30
	addressLevel = "info" // level of the log line with the addresses
)

// Options configure a fleet.
type Options struct {
	Nodes   int
	Engines int
	Stores  int
	// Engine is the configuration of all engines.
	Engine  engine.Config
	Command Command
}

// Fleet is a set of node processes. The simulated endpoints run in this process.
type Fleet struct {
	Nodes    []*Process
	standIns *demo.Fleet
	dir      string
}

// Start starts a fleet, configures it and waits until every node has discovered the others.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "cherryward-measure-")
	if err != nil {
		return nil, eris.Wrap(err, "make directory")
	}
	f := &Fleet{dir: dir}
	if err := f.start(ctx, opts); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, opts Options) error {
	var base settings.Settings
	var err error
	f.standIns, err = demo.Start(demo.Options{
		Nodes:   1, // writes the configuration, then is stopped
		Engines: slices.Repeat([]engine.Config{opts.Engine}, opts.Engines),
		Stores:  storesOf(opts.Stores),
		Log:     zerolog.Nop(),
		Adjust:  func(s *settings.Settings) { base = *s },
	})
	if err != nil {
		return err
	}
	if _, err := f.standIns.Configure(ctx); err != nil {
		return err
	}
	if err := f.startNodes(opts, base); err != nil {
		return err
	}
	first := f.standIns.Nodes[0]
	if err := f.wait(ctx, len(f.Nodes)+1); err != nil {
		return err
	}
	if err := first.Stop(); err != nil {
		return err
	}
	f.standIns.Remove(first)
	return f.wait(ctx, len(f.Nodes))
}

func storesOf(n int) []store.Config {
	stores := make([]store.Config, n)
	for i := range stores {
		stores[i] = store.Config{MemoryBytes: storeBytes, DiskBytes: storeBytes}
	}
	return stores
}

func (f *Fleet) startNodes(opts Options, base settings.Settings) error {
	base.Hosts.PollInterval = settings.Default().Hosts.PollInterval
	base.Limits.MaxNodes = max(opts.Nodes, base.Limits.MaxNodes)
	base.Logging.Level = addressLevel
	base.Peers.Address, base.Callers.Address, base.Operators.Address = loopback, loopback, loopback
	for i := range opts.Nodes {
		base.Node.ID = fmt.Sprintf("process-%d", i+1)
		p, err := start(opts.Command, f.dir, base)
		if err != nil {
			return err
		}
		f.Nodes = append(f.Nodes, p)
		f.standIns.Hosts.Set(hostwire.Host{ID: p.ID, Addr: p.peers, Domain: base.Node.FailureDomain, State: hostwire.Live, Node: true})
	}
	return nil
}

// wait returns once every node is ready and reports the given number of alive members.
func (f *Fleet) wait(ctx context.Context, alive int) error {
	for _, p := range f.Nodes {
		for {
			s, err := p.read(ctx)
			if err == nil && s.Ready == 1 && int(s.Alive) == alive && p.knowsAccounts(ctx) {
				break
			}
			if !retry.Sleep(ctx, readyPoll) {
				return eris.Errorf("node %s: ready %v, %v members alive, want %d", p.ID, s.Ready, s.Alive, alive)
			}
		}
	}
	return nil
}

// Measure returns the resource usage of the fleet while work runs.
func (f *Fleet) Measure(ctx context.Context, work func(context.Context) error) (Cost, error) {
	before, err := f.sample(ctx)
	if err != nil {
		return Cost{}, err
	}
	if err := work(ctx); err != nil {
		return Cost{}, err
	}
	after, err := f.sample(ctx)
	return costOf(before, after), err
}

func (f *Fleet) sample(ctx context.Context) ([]Sample, error) {
	samples := make([]Sample, len(f.Nodes))
	group, ctx := errgroup.WithContext(ctx)
	for i, p := range f.Nodes {
		group.Go(func() error {
			var err error
			samples[i], err = p.read(ctx)
			return err
		})
	}
	return samples, group.Wait()
}

// Close stops the node processes and the simulated endpoints.
func (f *Fleet) Close() error {
	var group errgroup.Group
	for _, p := range f.Nodes {
		group.Go(p.stop)
	}
	errs := []error{group.Wait(), os.RemoveAll(f.dir)}
	if f.standIns != nil {
		errs = append(errs, f.standIns.Close())
	}
	return eris.Wrap(errors.Join(errs...), "close fleet")
}
