package kvcache

import (
	"context"
	"errors"
	"time"
)

// Sweep deletes orphaned blocks, which no manifest refers to, for example because
// their writer crashed. It also deletes manifests whose block is missing or
// incomplete. It lists all blocks and manifests, so call it only every few minutes.
// Each call makes a bounded number of deletions.
//
// A block is deleted only if it is older, by the store host's clock, than the export
// timeout plus the grace period, and if this owner has seen it without a manifest
// for a full grace period, because another owner may just have freed it.
func (h *StoreHost) Sweep(ctx context.Context) error {
	blocksGeneration, blocks, err := h.listBlocks(ctx)
	if err != nil {
		return err
	}
	// Blocks are listed first, so that a manifest published in between is listed too.
	generation, manifests, err := h.listManifests(ctx)
	if err != nil {
		return err
	}
	if generation != blocksGeneration {
		return ErrRestarted
	}
	h.Index.setTiers(tiersOf(blocks))
	if err := h.sweepManifests(ctx, blocks, manifests); err != nil {
		return err
	}
	return h.sweepBlocks(ctx, blocks, manifests)
}

func tiersOf(blocks []BlockInfo) map[string]Tier {
	tiers := make(map[string]Tier, len(blocks))
	for _, b := range blocks {
		tiers[b.Name] = b.Tier
	}
	return tiers
}

func (h *StoreHost) sweepManifests(ctx context.Context, blocks []BlockInfo, manifests []Manifest) error {
	complete := make(map[string]bool, len(blocks))
	for _, b := range blocks {
		complete[b.Name] = b.Complete
	}
	freed := 0
	for _, m := range manifests {
		if complete[m.Name] || freed == maxFreesPerCall {
			continue
		}
		// The manifest may be newer than the list of blocks: check the block again.
		err := h.verify(ctx, m)
		if err == nil {
			continue
		}
		if !errors.Is(err, ErrNotVerified) {
			return err
		}
		if err := h.free(ctx, m); err != nil {
			return err
		}
		freed++
	}
	return nil
}

func (h *StoreHost) sweepBlocks(ctx context.Context, blocks []BlockInfo, manifests []Manifest) error {
	published := make(map[string]bool, len(manifests))
	for _, m := range manifests {
		published[m.Name] = true
	}
	for _, name := range h.expiredOrphans(blocks, published) {
		if err := h.deleteBlock(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// expiredOrphans updates the set of blocks without a manifest and returns those to
// delete.
func (h *StoreHost) expiredOrphans(blocks []BlockInfo, published map[string]bool) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	seen := make(map[string]time.Time)
	var expired []string
	for _, b := range blocks {
		if published[b.Name] || b.Age <= h.timing.MaxExport+h.timing.Grace {
			continue
		}
		first, ok := h.orphans[b.Name]
		if !ok {
			first = now
		}
		seen[b.Name] = first
		if now.Sub(first) > h.timing.Grace && len(expired) < maxFreesPerCall {
			expired = append(expired, b.Name)
		}
	}
	h.orphans = seen
	return expired
}
