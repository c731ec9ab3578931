package kvcache

import (
	"context"
	"crypto/rand"
	"errors"
	"time"
)

// Errors of exports.
var (
	// ErrExportsPaused is returned shortly after the store host was full or failed to
	// store a block, and while its breaker is open.
	ErrExportsPaused = errors.New("kvcache: exports to the store host are paused")
	// ErrExportTooLate is returned for an export that took so long that a sweep may
	// delete its blocks.
	ErrExportTooLate = errors.New("kvcache: export took too long, blocks may be swept before they are published")
	// ErrNotVerified is returned for a block that is missing or incomplete on the store
	// host, that the engine did not report as written, or whose checksum differs from
	// that of the bytes the engine wrote.
	ErrNotVerified = errors.New("kvcache: block is incomplete on the store host or fails its checksum")
)

// RandomName returns a block name that is unique across nodes: 128 random bits.
func RandomName() string { return rand.Text() }

// Request identifies the prompt and the engine's KV layout of an export or import.
type Request struct {
	Identity
	Layout string
	Salt   string // the account's cache salt
	Chain  Chain
}

// ExportPlan is a set of blocks missing from the store host. The block names are
// used by this export only. Its manifests are in chain order.
type ExportPlan struct {
	Transfer  Transfer
	manifests []Manifest
	plannedAt time.Time
}

// PlanExport plans the export of the blocks that have no manifest yet. placements must
// be in chain order from the first block. The plan has at most maxBlocks blocks (0:
// no limit) and is empty if there is nothing to export. PlanExport does not
// reserve space on the store host.
func (h *StoreHost) PlanExport(req Request, placements []Placement, maxBlocks int, bytesPerSecond int64) (ExportPlan, error) {
	if h.breaker.Open() || h.exportsPaused() {
		return ExportPlan{}, ErrExportsPaused
	}
	plan := ExportPlan{
		Transfer:  Transfer{Store: h.url, BytesPerSecond: bytesPerSecond, Timeout: h.timing.MaxExport},
		plannedAt: h.clock(),
	}
	stored := h.Index.Manifests(req.Chain, req.Layout)
	parent := ""
	for i, p := range placements {
		if p.Index != i {
			break
		}
		if i < len(stored) {
			if stored[i].Block != p.Block.ID {
				break // stored by a conversation that diverges within this chunk
			}
			parent = stored[i].Key
			continue
		}
		if maxBlocks > 0 && len(plan.manifests) == maxBlocks {
			break
		}
		m := h.newManifest(req, p, parent)
		plan.manifests = append(plan.manifests, m)
		plan.Transfer.Blocks = append(plan.Transfer.Blocks, transferBlock(m, req.Salt))
		parent = m.Key
	}
	return plan, nil
}

// Bytes returns the total size of the blocks to transfer.
func (p ExportPlan) Bytes() int64 {
	var sum int64
	for _, m := range p.manifests {
		sum += m.Bytes
	}
	return sum
}

func (h *StoreHost) newManifest(req Request, p Placement, parent string) Manifest {
	return Manifest{
		Key:      newStoreKey(p.At, req.Layout, p.Index).String(),
		Parent:   parent,
		Index:    p.Index,
		Name:     h.newName(),
		Block:    p.Block.ID,
		EndToken: p.Block.EndToken,
		Bytes:    p.Block.Bytes,
		Identity: req.Identity,
		Layout:   req.Layout,
	}
}

func transferBlock(m Manifest, salt string) TransferBlock {
	return TransferBlock{
		Block: m.Block, Name: m.Name, Bytes: m.Bytes, Checksum: m.Checksum,
		Version: m.Version, Salt: salt,
	}
}

// Export has the engine write the plan's blocks, publishes those that arrived
// complete and returns the number of blocks published. After an error, Sweep
// deletes the unpublished blocks; a new plan may be made immediately.
func (h *StoreHost) Export(ctx context.Context, engine Engine, plan ExportPlan) (int, error) {
	if len(plan.manifests) == 0 {
		return 0, nil
	}
	transferCtx, cancel := context.WithTimeout(ctx, plan.Transfer.Timeout+h.timing.Call)
	defer cancel()
	results, err := engine.Export(transferCtx, plan.Transfer)
	if err != nil {
		return 0, err
	}
	return h.commit(ctx, plan, results)
}

// commit publishes the blocks of a finished export in chain order: it verifies each
// block on the store host, then puts its manifest. It stops at the first block that
// is incomplete or whose outcome is unknown, because lookups cannot reach the
// blocks after it. After an error the plan must not be committed again; a new plan is
// needed.
func (h *StoreHost) commit(ctx context.Context, plan ExportPlan, results []TransferResult) (int, error) {
	for i, m := range plan.manifests {
		if i >= len(results) || !results[i].OK || results[i].Block != m.Block {
			h.pauseExports()
			h.discard(ctx, plan.manifests[i:])
			return i, ErrNotVerified
		}
		m.Checksum, m.Bytes = results[i].Checksum, results[i].Bytes
		if err := h.verify(ctx, m); err != nil {
			h.discardIfNotVerified(ctx, err, plan.manifests[i:])
			return i, err
		}
		if h.clock().Sub(plan.plannedAt) > h.timing.MaxExport+h.timing.Grace-h.timing.Call {
			return i, ErrExportTooLate
		}
		if err := h.publish(ctx, m); err != nil {
			return i, err
		}
	}
	return len(plan.manifests), nil
}

// verify checks size, checksum and completeness of the block on the store host. It
// returns ErrNotVerified if they do not match the manifest or the block does not exist.
func (h *StoreHost) verify(ctx context.Context, m Manifest) error {
	info, err := h.store.BlockInfo(ctx, m.Name)
	if errors.Is(err, ErrNotFound) {
		return ErrNotVerified
	}
	if err != nil {
		return err
	}
	if !info.Complete || info.Checksum != m.Checksum || info.Bytes != m.Bytes || !validChecksum(m.Checksum) {
		return ErrNotVerified
	}
	return nil
}

// publish puts the manifest. If another writer has already published a manifest
// under the key, publish deletes the block, which no manifest can refer to, and
// indexes the existing manifest.
func (h *StoreHost) publish(ctx context.Context, m Manifest) error {
	err := h.store.PutManifest(ctx, m)
	if err == nil {
		h.Index.Add(m, h.clock())
		return nil
	}
	if !errors.Is(err, ErrExists) {
		return err // the manifest may have been stored, so keep the block
	}
	existing, err := h.store.Manifest(ctx, m.Key)
	if err != nil {
		return err
	}
	if existing.Name != m.Name {
		h.discard(ctx, []Manifest{m})
	}
	h.Index.Add(existing, h.clock())
	return nil
}

// discardIfNotVerified discards the blocks if err is ErrNotVerified. After any other error
// they may be complete.
func (h *StoreHost) discardIfNotVerified(ctx context.Context, err error, manifests []Manifest) {
	if errors.Is(err, ErrNotVerified) {
		h.discard(ctx, manifests)
	}
}

// discard deletes blocks that no manifest has ever referred to. Sweep deletes those
// that discard fails to delete.
func (h *StoreHost) discard(ctx context.Context, manifests []Manifest) {
	for _, m := range manifests {
		if err := h.store.DeleteBlock(ctx, m.Name); err != nil && !errors.Is(err, ErrNotFound) {
			return
		}
	}
}
