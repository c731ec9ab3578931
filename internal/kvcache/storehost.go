package kvcache

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	listPageSize = 500
	maxListPages = 20_000
	exportPause  = 10 * time.Second // after the store host rejected or aborted a write
)

// ErrBadTiming is returned for a Timing whose durations are not positive or whose
// grace period is not longer than the import timeout plus two calls.
var ErrBadTiming = errors.New("kvcache: invalid timing: durations must be positive, and the grace period must exceed the import timeout plus two calls")

// ErrRestarted is returned if a store host restarts during a listing. The listing
// may be repeated.
var ErrRestarted = errors.New("kvcache: store host was restarted while it was listed")

// Timing sets the time limits of exports, imports and frees.
type Timing struct {
	Call      time.Duration // timeout of one call to the store host
	MaxImport time.Duration // timeout of an import
	MaxExport time.Duration // timeout of an export
	Grace     time.Duration // between deleting a manifest and its block
}

// DefaultTiming returns limits for links that transfer a long context within half
// a minute.
func DefaultTiming() Timing {
	return Timing{
		Call:      2 * time.Second,
		MaxImport: 30 * time.Second,
		MaxExport: time.Minute,
		Grace:     45 * time.Second,
	}
}

// Validate returns ErrBadTiming unless the grace period is longer than any import
// that was planned before the manifest was deleted. Checking the manifest and
// requesting the import may each take as long as a call.
func (t Timing) Validate() error {
	if t.Call <= 0 || t.MaxImport <= 0 || t.MaxExport <= 0 {
		return fmt.Errorf("%w: durations must be positive", ErrBadTiming)
	}
	if t.Grace <= t.MaxImport+2*t.Call {
		return ErrBadTiming
	}
	return nil
}

// StoreHost is an owner's state for one store host. On this node only the StoreHost
// writes the store host's manifests. Other nodes may write to the same store host at
// the same time; see the guarantee in the package comment. Safe for concurrent use.
type StoreHost struct {
	Index   *StoreIndex
	breaker *breaker

	url     string
	store   Store
	clock   func() time.Time
	timing  Timing
	newName func() string

	mu                 sync.Mutex
	generation         string
	loaded             bool
	exportsPausedUntil time.Time              // no exports before this time
	pendingFrees       map[string]pendingFree // by block name
	orphans            map[string]time.Time   // time when this owner first listed them, by block name
}

// NewStoreHost returns the state of the store host at the URL, with an empty index
// until Load. clock returns the node's time; newName must return a unique name on
// each call, as RandomName does. It fails if the timing is invalid.
func NewStoreHost(url string, store Store, clock func() time.Time, newName func() string, timing Timing) (*StoreHost, error) {
	if err := timing.Validate(); err != nil {
		return nil, err
	}
	breaker := newBreaker()
	return &StoreHost{
		Index:        NewStoreIndex(),
		breaker:      breaker,
		url:          url,
		store:        &guardedStore{store: store, breaker: breaker, clock: clock, timeout: timing.Call},
		clock:        clock,
		timing:       timing,
		newName:      newName,
		pendingFrees: make(map[string]pendingFree),
		orphans:      make(map[string]time.Time),
	}, nil
}

// Unavailable reports whether calls to the store host are suspended because of
// repeated failures.
func (h *StoreHost) Unavailable() bool { return h.breaker.Open() }

// Lookup returns the result of Index.Lookup, or an empty result while the store
// host's breaker is open.
func (h *StoreHost) Lookup(chain Chain, layout string, engineTokens int) StoredPrefix {
	if h.breaker.Open() {
		return StoredPrefix{}
	}
	return h.Index.Lookup(chain, layout, engineTokens)
}

// Load reads all manifests page by page and replaces the index's contents by them.
// The index remains usable during the load. Load may be repeated.
func (h *StoreHost) Load(ctx context.Context) error {
	listing := h.Index.startListing()
	defer h.Index.closeListing(listing)
	generation, manifests, err := h.listManifests(ctx)
	if err != nil {
		return err
	}
	h.Index.applyListing(listing, manifests, h.clock())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation = generation
	h.loaded = true
	return nil
}

// Refresh returns the store host's usage. It also clears and reloads the index if
// the store host was restarted or the index is not loaded.
func (h *StoreHost) Refresh(ctx context.Context) (Usage, error) {
	usage, err := h.store.Usage(ctx)
	if err != nil {
		return Usage{}, err
	}
	h.mu.Lock()
	current := h.loaded && h.generation == usage.Generation
	h.mu.Unlock()
	if current {
		return usage, nil
	}
	h.Index.Clear()
	return usage, h.Load(ctx)
}

func (h *StoreHost) listManifests(ctx context.Context) (string, []Manifest, error) {
	var all []Manifest
	generation, after := "", ""
	for range maxListPages {
		page, err := h.store.ListManifests(ctx, after, listPageSize)
		if err != nil {
			return "", nil, err
		}
		if generation != "" && page.Generation != generation {
			return "", nil, ErrRestarted
		}
		generation = page.Generation
		all = append(all, page.Manifests...)
		if !page.More || len(page.Manifests) == 0 {
			break
		}
		after = page.Manifests[len(page.Manifests)-1].Key
	}
	return generation, all, nil
}

func (h *StoreHost) listBlocks(ctx context.Context) (string, []BlockInfo, error) {
	var all []BlockInfo
	generation, after := "", ""
	for range maxListPages {
		page, err := h.store.ListBlocks(ctx, after, listPageSize)
		if err != nil {
			return "", nil, err
		}
		if generation != "" && page.Generation != generation {
			return "", nil, ErrRestarted
		}
		generation = page.Generation
		all = append(all, page.Blocks...)
		if !page.More || len(page.Blocks) == 0 {
			break
		}
		after = page.Blocks[len(page.Blocks)-1].Name
	}
	return generation, all, nil
}

func (h *StoreHost) pauseExports() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exportsPausedUntil = h.clock().Add(exportPause)
}

func (h *StoreHost) exportsPaused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock().Before(h.exportsPausedUntil)
}

// URL returns the store host's base URL, as used in transfers.
func (h *StoreHost) URL() string { return h.url }
