package kvcache

import (
	"context"
	"time"
)

// guardedStore applies a timeout and the circuit breaker to each call to a store
// host.
type guardedStore struct {
	store   Store
	breaker *breaker
	clock   func() time.Time
	timeout time.Duration
}

var _ Store = (*guardedStore)(nil)

// guardedResult makes one call with the timeout, unless the breaker is open, and
// records its outcome.
func guardedResult[T any](ctx context.Context, g *guardedStore, call func(context.Context) (T, error)) (T, error) {
	if !g.breaker.Allow(g.clock()) {
		var none T
		return none, ErrBreakerOpen
	}
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	out, err := call(ctx)
	g.breaker.Record(g.clock(), err)
	return out, err
}

// noResult is the result type of calls that return only an error.
type noResult struct{}

func guardedCall(ctx context.Context, g *guardedStore, call func(context.Context) error) error {
	_, err := guardedResult(ctx, g, func(ctx context.Context) (noResult, error) { return noResult{}, call(ctx) })
	return err
}

func (g *guardedStore) ListManifests(ctx context.Context, after string, limit int) (ManifestPage, error) {
	return guardedResult(ctx, g, func(ctx context.Context) (ManifestPage, error) { return g.store.ListManifests(ctx, after, limit) })
}

func (g *guardedStore) ListBlocks(ctx context.Context, after string, limit int) (BlockPage, error) {
	return guardedResult(ctx, g, func(ctx context.Context) (BlockPage, error) { return g.store.ListBlocks(ctx, after, limit) })
}

func (g *guardedStore) Manifest(ctx context.Context, key string) (Manifest, error) {
	return guardedResult(ctx, g, func(ctx context.Context) (Manifest, error) { return g.store.Manifest(ctx, key) })
}

func (g *guardedStore) BlockInfo(ctx context.Context, name string) (BlockInfo, error) {
	return guardedResult(ctx, g, func(ctx context.Context) (BlockInfo, error) { return g.store.BlockInfo(ctx, name) })
}

func (g *guardedStore) Usage(ctx context.Context) (Usage, error) {
	return guardedResult(ctx, g, g.store.Usage)
}

func (g *guardedStore) PutManifest(ctx context.Context, m Manifest) error {
	return guardedCall(ctx, g, func(ctx context.Context) error { return g.store.PutManifest(ctx, m) })
}

func (g *guardedStore) DeleteManifest(ctx context.Context, key, name string) error {
	return guardedCall(ctx, g, func(ctx context.Context) error { return g.store.DeleteManifest(ctx, key, name) })
}

func (g *guardedStore) DeleteBlock(ctx context.Context, name string) error {
	return guardedCall(ctx, g, func(ctx context.Context) error { return g.store.DeleteBlock(ctx, name) })
}
