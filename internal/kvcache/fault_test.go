package kvcache

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestWriterKilledAtEachStep stops an owner before and after each of its calls takes
// effect. Another owner must then read correct blocks or none and be able to export
// the rest, and sweeps must delete all orphaned blocks.
func TestWriterKilledAtEachStep(t *testing.T) {
	for step := 0; ; step++ {
		for _, after := range []bool{false, true} {
			s := newFakeStore()
			calls := 0
			s.step = func(string) (error, error) {
				calls++
				switch {
				case calls > step+1, calls == step+1 && !after:
					return errLost, nil
				case calls == step+1:
					return nil, errLost
				}
				return nil, nil
			}
			e, req := &fakeEngine{store: s}, request("c", 4)
			_, err := export(newOwner(t, s, "a"), e, req)
			s.step = nil
			if err == nil && !after {
				must.Greater(t, 10, step) // write, verify and publish for each of 4 blocks
				return
			}
			b := newOwner(t, s, "b")
			must.NoError(t, b.Load(ctx))
			importedBlocks(b, e, req)
			_, err = export(b, e, req)
			must.NoError(t, err)
			must.Eq(t, 4, importedBlocks(b, e, req))
			for range 4 {
				must.NoError(t, b.Sweep(ctx))
				s.now = s.now.Add(testTiming.MaxExport + testTiming.Grace)
			}
			must.MapLen(t, 4, s.blocks)
			must.NoError(t, s.violation)
		}
	}
}

func TestOnlyCompleteBlocksArePublished(t *testing.T) {
	correct := blockContents("b")
	m := Manifest{Name: "n", Bytes: fakeBlockBytes, Checksum: checksumOf(correct)}
	other := blockContents("other")
	cases := map[string]struct {
		block fakeBlock
		want  error
	}{
		"whole":      {fakeBlock{data: correct, complete: true}, nil},
		"incomplete": {fakeBlock{data: correct}, ErrNotVerified},
		"other":      {fakeBlock{data: other, complete: true}, ErrNotVerified},
		"short":      {fakeBlock{data: correct[1:], complete: true, reportedChecksum: m.Checksum}, ErrNotVerified},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			s.blocks["n"] = c.block
			must.ErrorIs(t, newOwner(t, s, "a").verify(ctx, m), c.want)
		})
	}
}

// TestRepeatedPut covers a put that returns ErrExists for its own manifest, as when
// the transport repeats the request.
func TestRepeatedPut(t *testing.T) {
	s := newFakeStore()
	h, e, req := newOwner(t, s, "a"), &fakeEngine{store: s}, request("c", 2)
	plan, err := h.PlanExport(req, placements(req), 0, 0)
	must.NoError(t, err)
	results, err := e.Export(ctx, plan.Transfer)
	must.NoError(t, err)
	for range 2 {
		n, err := h.commit(ctx, plan, results)
		must.NoError(t, err)
		must.Eq(t, 2, n)
	}
	must.Eq(t, 2, importedBlocks(h, e, req))
	must.NoError(t, s.violation)
}

func TestStoreFaultsAreMisses(t *testing.T) {
	req := request("c", 4)
	key := func(i int) string { return newStoreKey(req.Chain[i], testLayout, i).String() }
	cases := []struct {
		name          string
		fault         func(*fakeStore, *StoreHost)
		correctBlocks int // blocks imported after the fault; all must be correct
	}{
		{"no fault", func(*fakeStore, *StoreHost) {}, 4},
		{"block missing", func(s *fakeStore, _ *StoreHost) { delete(s.blocks, s.manifests[key(2)].Name) }, 2},
		{"block corrupted", func(s *fakeStore, _ *StoreHost) { s.blocks[s.manifests[key(1)].Name].data[9] ^= 1 }, 1},
		{"block partial", func(s *fakeStore, _ *StoreHost) {
			b := s.blocks[s.manifests[key(0)].Name]
			b.complete = false
			s.blocks[s.manifests[key(0)].Name] = b
		}, 0},
		{"last manifest gone", func(s *fakeStore, _ *StoreHost) { delete(s.manifests, key(3)) }, 3},
		{"all manifests gone", func(s *fakeStore, _ *StoreHost) { clear(s.manifests) }, 0},
		{"down", func(s *fakeStore, _ *StoreHost) { s.down = true }, 0},
		{"breaker open", func(s *fakeStore, h *StoreHost) {
			for range breakerFailures {
				h.breaker.Record(s.now, errDown)
			}
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeStore()
			h, e := newOwner(t, s, "a"), &fakeEngine{store: s}
			_, err := export(h, e, req)
			must.NoError(t, err)
			c.fault(s, h)
			must.Eq(t, c.correctBlocks, importedBlocks(h, e, req))
			must.NoError(t, s.violation)
		})
	}
}

func TestMismatchedManifestsAreMisses(t *testing.T) {
	cases := map[string]func(*Manifest){
		"account":  func(m *Manifest) { m.Account = "other" },
		"model":    func(m *Manifest) { m.Model = "other" },
		"version":  func(m *Manifest) { m.Version = "other" },
		"adapter":  func(m *Manifest) { m.Adapter = "other" },
		"layout":   func(m *Manifest) { m.Layout = "other" },
		"checksum": func(m *Manifest) { m.Checksum = "" },
		"index":    func(m *Manifest) { m.Index++ },
		"parent":   func(m *Manifest) { m.Parent = "" },
		"tokens":   func(m *Manifest) { m.EndToken = 1 },
		"name":     func(m *Manifest) { m.Name = "" },
		"block":    func(m *Manifest) { m.Block = "" },
	}
	req := request("c", 4)
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			h, e := newOwner(t, s, "a"), &fakeEngine{store: s}
			_, err := export(h, e, req)
			must.NoError(t, err)
			key := newStoreKey(req.Chain[2], testLayout, 2).String()
			m := s.manifests[key]
			corrupt(&m)
			s.manifests[key] = m
			must.NoError(t, h.Load(ctx))
			must.Eq(t, 2, importedBlocks(h, e, req))
		})
	}
}

func TestRejectedBlocksAreFreed(t *testing.T) {
	s := newFakeStore()
	h, e, req := newOwner(t, s, "a"), &fakeEngine{store: s}, request("c", 2)
	_, err := export(h, e, req)
	must.NoError(t, err)
	last := newStoreKey(req.Chain[1], testLayout, 1).String()
	m, _ := h.Index.manifest(last)
	for range 2 * maxImportRejections { // an engine that cannot reach the store host
		must.NoError(t, h.checkFailedImport(ctx, m, TransferResult{Block: m.Block}))
	}
	must.Eq(t, 2, h.Lookup(req.Chain, testLayout, 0).Blocks)
	// The disk has corrupted the block and the store host does not detect it.
	m.Checksum = checksumOf(nil)
	s.manifests[last] = m
	s.blocks[m.Name] = fakeBlock{data: s.blocks[m.Name].data, complete: true, created: s.now, reportedChecksum: m.Checksum}
	must.NoError(t, h.Load(ctx))
	for range maxImportRejections {
		must.Eq(t, 2, h.Lookup(req.Chain, testLayout, 0).Blocks)
		must.Eq(t, 1, importedBlocks(h, e, req))
	}
	must.Eq(t, 1, h.Lookup(req.Chain, testLayout, 0).Blocks)
}

func TestStoreFullPausesExports(t *testing.T) {
	s := newFakeStore()
	s.capacity = 3
	h, e, req := newOwner(t, s, "a"), &fakeEngine{store: s}, request("c", 5)
	n, err := export(h, e, req)
	must.ErrorIs(t, err, ErrNotVerified)
	must.Eq(t, 3, n)
	_, err = export(h, e, req)
	must.ErrorIs(t, err, ErrExportsPaused)
	must.Eq(t, 3, importedBlocks(h, e, req)) // imports are not paused
	value := func(c Candidate) float64 { return float64(c.EndToken) }
	must.NoError(t, h.Evict(ctx, fakeBlockBytes+1, 0, value))
	must.NoError(t, h.Evict(ctx, 2*fakeBlockBytes, 0, value)) // already being freed
	must.Eq(t, 1, importedBlocks(h, e, req))
	must.NoError(t, h.Flush(ctx))
	must.MapLen(t, 3, s.blocks)
	s.now = s.now.Add(testTiming.Grace)
	must.NoError(t, h.Flush(ctx))
	must.MapLen(t, 1, s.blocks)
	n, err = export(h, e, req)
	must.ErrorIs(t, err, ErrNotVerified)
	must.Eq(t, 2, n)
	must.NoError(t, s.violation)
}

func TestFreeDuringImport(t *testing.T) {
	s := newFakeStore()
	a, b, e, req := newOwner(t, s, "a"), newOwner(t, s, "b"), &fakeEngine{store: s}, request("c", 2)
	_, err := export(a, e, req)
	must.NoError(t, err)
	must.NoError(t, b.Load(ctx))
	plan, err := b.PlanImport(ctx, req, 0, 0, 0)
	must.NoError(t, err)
	m, _ := a.Index.manifest(newStoreKey(req.Chain[1], testLayout, 1).String())
	s.step = func(call string) (error, error) {
		if call == "read" { // the engine takes as long as its timeout allows
			s.step = nil
			must.NoError(t, a.free(ctx, m))
			s.now = s.now.Add(testTiming.MaxImport)
			must.NoError(t, a.Flush(ctx))
		}
		return nil, nil
	}
	got, err := b.Import(ctx, e, plan)
	must.NoError(t, err)
	must.Len(t, 2, got)
	must.Eq(t, 1, importedBlocks(b, e, req)) // a new plan detects that the manifest was deleted
	must.NoError(t, s.violation)
}

func TestStoreRestoredFromOldContents(t *testing.T) {
	s := newFakeStore()
	h, e, old, newReq := newOwner(t, s, "a"), &fakeEngine{store: s}, request("old", 2), request("young", 3)
	_, err := export(h, e, old)
	must.NoError(t, err)
	restore := s.snapshot()
	must.NoError(t, h.Evict(ctx, 2*fakeBlockBytes, 0, func(Candidate) float64 { return 0 }))
	_, err = export(h, e, newReq)
	must.NoError(t, err)
	restore()
	must.Eq(t, 0, importedBlocks(h, e, newReq)) // before the owner detects the restart
	s.now = s.now.Add(testTiming.Grace)
	must.NoError(t, h.Flush(ctx)) // the manifests of the freed blocks exist again
	must.NoError(t, s.violation)
	restore()
	_, err = h.Refresh(ctx)
	must.NoError(t, err)
	must.Eq(t, 2, importedBlocks(h, e, old))
	must.NoError(t, s.violation)
}
