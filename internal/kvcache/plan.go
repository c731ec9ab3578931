package kvcache

import (
	"context"
	"encoding/hex"
	"errors"
	"time"
)

const (
	checksumBytes       = 32 // SHA-256
	maxPlanAttempts     = 3  // prefixes tried, each one block shorter, if the store host lacks the longest
	maxImportRejections = 2  // rejections by engines after which a block is freed
)

// ErrPlanExpired is returned for an import plan that was checked too long ago to be
// started.
var ErrPlanExpired = errors.New("kvcache: import plan has expired")

// ImportPlan is a set of blocks to import, in chain order, whose manifests were
// checked.
type ImportPlan struct {
	Transfer   Transfer
	Placements []Placement

	manifests []Manifest
	checked   time.Time
}

// Bytes returns the total size of the blocks to transfer.
func (p ImportPlan) Bytes() int64 {
	var sum int64
	for _, m := range p.manifests {
		sum += m.Bytes
	}
	return sum
}

// PlanImport selects the blocks that end after engineTokens and no later than
// maxTokens (0: no limit). It checks every manifest against the request and reads
// the last one again from the store host. Blocks are freed from the end of the
// chain, so if the last one is still published the ones before it are too. Any
// mismatch makes the plan shorter or empty; callers treat an error as a miss.
func (h *StoreHost) PlanImport(ctx context.Context, req Request, engineTokens, maxTokens int, bytesPerSecond int64) (ImportPlan, error) {
	if h.breaker.Open() {
		return ImportPlan{}, ErrBreakerOpen
	}
	usable := checkChain(req, h.Index.Manifests(req.Chain, req.Layout), maxTokens)
	checked, err := h.confirmLast(ctx, usable, engineTokens)
	if err != nil || len(checked) == 0 {
		return ImportPlan{}, err
	}
	plan := ImportPlan{
		Transfer: Transfer{Store: h.url, BytesPerSecond: bytesPerSecond, Timeout: h.timing.MaxImport},
		checked:  h.clock(),
	}
	for _, m := range checked {
		if m.EndToken > engineTokens {
			plan.add(m, req.Salt)
		}
	}
	return plan, nil
}

func (p *ImportPlan) add(m Manifest, salt string) {
	key, _ := parseStoreKey(m.Key)
	p.manifests = append(p.manifests, m)
	p.Transfer.Blocks = append(p.Transfer.Blocks, transferBlock(m, salt))
	p.Placements = append(p.Placements, Placement{
		At: key.at, Index: m.Index,
		Block: Block{ID: m.Block, EndToken: m.EndToken, Bytes: m.Bytes},
	})
}

// checkChain returns the manifests before the first one that does not match the
// request or its parent, or that ends after maxTokens.
func checkChain(req Request, manifests []Manifest, maxTokens int) []Manifest {
	parent := Manifest{}
	for i, m := range manifests {
		if maxTokens > 0 && m.EndToken > maxTokens {
			return manifests[:i]
		}
		if !validManifest(req, m, parent, i) {
			return manifests[:i]
		}
		parent = m
	}
	return manifests
}

func validManifest(req Request, m, parent Manifest, index int) bool {
	key, ok := parseStoreKey(m.Key)
	return ok && key == newStoreKey(key.at, req.Layout, index) &&
		m.Identity == req.Identity && m.Layout == req.Layout &&
		m.Index == index && m.Parent == parent.Key &&
		m.EndToken > parent.EndToken && m.Bytes > 0 &&
		m.Name != "" && m.Block != "" && validChecksum(m.Checksum)
}

func validChecksum(checksum string) bool {
	raw, err := hex.DecodeString(checksum)
	return err == nil && len(raw) == checksumBytes
}

// confirmLast reads the last manifest again from the store host. If it has changed,
// confirmLast removes it from the list and tries the one before, up to
// maxPlanAttempts times. After that it returns no manifests and has the next Refresh
// reload the index.
func (h *StoreHost) confirmLast(ctx context.Context, manifests []Manifest, engineTokens int) ([]Manifest, error) {
	for range maxPlanAttempts {
		if len(manifests) == 0 || manifests[len(manifests)-1].EndToken <= engineTokens {
			return nil, nil
		}
		last := manifests[len(manifests)-1]
		existing, err := h.store.Manifest(ctx, last.Key)
		if err != nil && !errors.Is(err, ErrNotFound) {
			return nil, err
		}
		if err == nil && existing == last {
			return manifests, nil
		}
		h.Index.Remove(last.Key, last.Name)
		manifests = manifests[:len(manifests)-1]
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loaded = false // the index is far out of date: the next Refresh reloads it
	return nil, nil
}

// Import has the engine read the plan's blocks and returns the blocks imported, up
// to the first failure; the rest of the prompt is recomputed. Cancel the context
// when the import exceeds its caller's deadline. A block that turns out to be
// missing, incomplete or corrupted is freed.
func (h *StoreHost) Import(ctx context.Context, engine Engine, plan ImportPlan) ([]Placement, error) {
	if len(plan.manifests) == 0 {
		return nil, nil
	}
	if h.clock().Sub(plan.checked) > h.timing.Call {
		return nil, ErrPlanExpired
	}
	transferCtx, cancel := context.WithTimeout(ctx, plan.Transfer.Timeout+h.timing.Call)
	defer cancel()
	results, err := engine.Import(transferCtx, plan.Transfer)
	if err != nil {
		return nil, err
	}
	for i, m := range plan.manifests {
		if i >= len(results) || results[i].Block != m.Block {
			return plan.Placements[:i], nil
		}
		if !results[i].OK {
			return plan.Placements[:i], h.checkFailedImport(ctx, m, results[i])
		}
	}
	return plan.Placements, nil
}

// checkFailedImport frees a block whose import failed if it is incomplete on the
// store host, or if engines have read and rejected it maxImportRejections times. A
// failure before all bytes were read, for example because the engine cannot reach
// the store host, does not count as a rejection.
func (h *StoreHost) checkFailedImport(ctx context.Context, m Manifest, result TransferResult) error {
	rejections := 0
	if result.Bytes == m.Bytes {
		rejections = h.Index.countRejection(m.Key)
	}
	err := h.verify(ctx, m)
	if err == nil && rejections < maxImportRejections {
		return nil
	}
	if err != nil && !errors.Is(err, ErrNotVerified) {
		return err
	}
	return h.free(ctx, m)
}
