package kvcache

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cherryward/cherryward/internal/kvcache/policy"
)

const maxFreesPerCall = 64 // maximum number of blocks or manifests handled by one Flush or Sweep

// pendingFree is a block that is being freed. Once unpublished is set, its manifest
// is deleted.
type pendingFree struct {
	key         string
	name        string
	bytes       int64
	unpublished bool
	deleteAfter time.Time
}

// free deletes a block's manifest now and schedules the block for deletion by a
// Flush after the grace period. It is idempotent, and several owners may free the
// same block.
func (h *StoreHost) free(ctx context.Context, m Manifest) error {
	h.Index.Remove(m.Key, m.Name)
	return h.unpublish(ctx, pendingFree{key: m.Key, name: m.Name, bytes: m.Bytes})
}

// unpublish deletes the manifest. The grace period starts only when the store host
// confirms the deletion; after an unknown outcome Flush retries.
func (h *StoreHost) unpublish(ctx context.Context, p pendingFree) error {
	err := h.store.DeleteManifest(ctx, p.key, p.name)
	if errors.Is(err, ErrNotFound) {
		err = nil
	}
	if err == nil {
		p.unpublished = true
		p.deleteAfter = h.clock().Add(h.timing.Grace)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pendingFrees[p.name] = p
	return err
}

// Flush deletes blocks whose grace period has passed and retries failed deletions
// of manifests, a bounded number per call. Call it about once a second.
func (h *StoreHost) Flush(ctx context.Context) error {
	for _, p := range h.readyFrees() {
		if err := h.deletePending(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// deletePending deletes one pending block. If its manifest exists again, because the
// store host was restored from an older state, deletePending deletes only the manifest,
// which starts a new grace period.
func (h *StoreHost) deletePending(ctx context.Context, p pendingFree) error {
	existing, err := h.store.Manifest(ctx, p.key)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	if !p.unpublished || (err == nil && existing.Name == p.name) {
		return h.unpublish(ctx, p)
	}
	return h.deleteBlock(ctx, p.name)
}

func (h *StoreHost) deleteBlock(ctx context.Context, name string) error {
	if err := h.store.DeleteBlock(ctx, name); err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	h.removePending(name)
	return nil
}

func (h *StoreHost) readyFrees() []pendingFree {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	var out []pendingFree
	for _, p := range h.pendingFrees {
		if !p.unpublished || !now.Before(p.deleteAfter) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b pendingFree) int {
		return cmp.Or(a.deleteAfter.Compare(b.deleteAfter), strings.Compare(a.name, b.name))
	})
	return out[:min(len(out), maxFreesPerCall)]
}

// removePending removes a deleted block from the pending frees and the orphans.
func (h *StoreHost) removePending(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pendingFrees, name)
	delete(h.orphans, name)
}

// pendingBytes returns the total size of the blocks that are being freed.
func (h *StoreHost) pendingBytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var sum int64
	for _, p := range h.pendingFrees {
		sum += p.bytes
	}
	return sum
}

// Candidate is a stored block passed to the value function of Evict.
type Candidate struct {
	Identity
	Bytes    int64
	EndToken int
	Idle     time.Duration // since its prefix last served a run
}

// Evict frees blocks at the ends of chains, lowest value per byte first, until
// need bytes are being freed. value returns the expected seconds saved by keeping a
// block. An account is reduced below floor bytes only if no other account can lose a
// block and keep floor bytes.
func (h *StoreHost) Evict(ctx context.Context, need, floor int64, value func(Candidate) float64) error {
	need -= h.pendingBytes()
	if need <= 0 {
		return nil
	}
	stored := h.Index.evictionCandidates(h.clock(), value)
	for _, key := range policy.PlanEviction(stored, need, floor) {
		m, ok := h.Index.manifest(key)
		if !ok {
			continue
		}
		if err := h.free(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// evictionCandidates returns the index's blocks for eviction. A block whose parent
// is missing cannot be reached and has value 0.
func (x *StoreIndex) evictionCandidates(now time.Time, value func(Candidate) float64) []policy.Stored {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]policy.Stored, 0, len(x.blocks))
	for key, b := range x.blocks {
		s := policy.Stored{Key: key.String(), Account: b.manifest.Account, Bytes: b.manifest.Bytes}
		parent, ok := x.blocks[b.parent]
		if ok {
			s.Parent = parent.key.String()
		}
		if ok || b.manifest.Index == 0 {
			s.Value = value(b.candidate(now))
		}
		out = append(out, s)
	}
	return out
}

func (b *storedBlock) candidate(now time.Time) Candidate {
	return Candidate{
		Identity: b.manifest.Identity,
		Bytes:    b.manifest.Bytes,
		EndToken: b.manifest.EndToken,
		Idle:     now.Sub(b.lastUsed),
	}
}

func (x *StoreIndex) manifest(key string) (Manifest, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	k, _ := parseStoreKey(key)
	b, ok := x.blocks[k]
	if !ok {
		return Manifest{}, false
	}
	return b.fullManifest(), true
}
