package gateway

import (
	"context"

	"github.com/cherryward/cherryward/internal/kernel"
)

// task runs a function as a kernel service.
type task struct {
	name string
	run  func(ctx context.Context) error
}

var (
	_ kernel.Service = (*task)(nil)
	_ kernel.Runner  = (*task)(nil)
)

// Name implements kernel.Service.
func (t *task) Name() string { return t.name }

// Needs implements kernel.Service.
func (t *task) Needs() []string { return nil }

// Start implements kernel.Service.
func (t *task) Start(context.Context, *kernel.Kernel) error { return nil }

// Run implements kernel.Runner.
func (t *task) Run(ctx context.Context) error { return t.run(ctx) }
