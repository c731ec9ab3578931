package kvcache

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/kvcache/link"
)

var (
	testTiming = DefaultTiming()
	ctx        = context.Background()
)

const testLayout = "bf16/2000"

// sequentialNames returns a generator of consecutive names, which makes failures
// reproducible.
func sequentialNames(owner string) func() string {
	n := 0
	return func() string {
		n++
		return fmt.Sprintf("%s-%04d", owner, n)
	}
}

func newOwner(t must.T, s *fakeStore, name string) *StoreHost {
	h, err := NewStoreHost("http://store", s, s.clock, sequentialNames(name), testTiming)
	must.NoError(t, err)
	return h
}

// request returns a request for a prompt with the given number of blocks, each one
// chunk long.
func request(tag string, blocks int) Request {
	prompt := conversation(tag, blocks*TextChunkBytes)
	return Request{Identity: testIdentity, Layout: testLayout, Salt: "salt", Chain: testIdentity.TextChain(prompt)}
}

func placements(req Request) []Placement {
	var out []Placement
	for i, at := range req.Chain {
		block := Block{ID: "block-" + at.String(), EndToken: (i + 1) * 500, Bytes: fakeBlockBytes}
		out = append(out, Placement{At: at, Index: i, Block: block})
	}
	return out
}

func export(h *StoreHost, e Engine, req Request) (int, error) {
	plan, err := h.PlanExport(req, placements(req), 0, 0)
	if err != nil {
		return 0, err
	}
	return h.Export(ctx, e, plan)
}

// importedBlocks returns the number of blocks that an import transfers into an empty
// engine.
func importedBlocks(h *StoreHost, e Engine, req Request) int {
	plan, err := h.PlanImport(ctx, req, 0, 0, 0)
	if err != nil {
		return 0
	}
	got, _ := h.Import(ctx, e, plan)
	return len(got)
}

func TestTimingMustCoverTheLongestImport(t *testing.T) {
	must.NoError(t, DefaultTiming().Validate())
	for _, bad := range []Timing{{}, {Call: time.Second, MaxImport: 10 * time.Second, MaxExport: time.Second, Grace: 12 * time.Second}} {
		_, err := NewStoreHost("u", newFakeStore(), time.Now, RandomName, bad)
		must.ErrorIs(t, err, ErrBadTiming)
	}
}

func TestExportImportRoundTrip(t *testing.T) {
	s := newFakeStore()
	a, e, req := newOwner(t, s, "a"), &fakeEngine{store: s}, request("c", 5)
	n, err := export(a, e, req)
	must.NoError(t, err)
	must.Eq(t, 5, n)
	longer := request("c", 8)
	must.Eq(t, StoredPrefix{Tokens: 2500, Blocks: 3, Bytes: 3 * fakeBlockBytes}, a.Lookup(longer.Chain, testLayout, 1000))
	must.Eq(t, StoredPrefix{}, a.Lookup(longer.Chain, "fp8", 0))
	path := link.Path{link.NewBudget(1 << 20), link.NewBudget(1 << 10)}
	must.Eq(t, StoreEstimate{Store: "http://store", Tokens: 2500, Bytes: 3 * fakeBlockBytes, BytesPerSecond: 1 << 10}, a.Estimate(longer.Chain, testLayout, 1000, path))
	must.Eq(t, StoreEstimate{}, a.Estimate(longer.Chain, testLayout, 2500, path)) // the engine has cached as many tokens
	n, err = export(a, e, longer)                                                 // transfers only the blocks not stored yet
	must.NoError(t, err)
	must.Eq(t, 3, n)
	b := newOwner(t, s, "b")
	_, err = b.Refresh(ctx)
	must.NoError(t, err)
	must.Eq(t, 8, importedBlocks(b, e, longer))
	plan, err := b.PlanImport(ctx, longer, 1000, 3000, 7)
	must.NoError(t, err)
	must.Eq(t, 4*fakeBlockBytes, plan.Bytes()) // blocks after token 1,000 up to token 3,000
	must.Eq(t, 7, plan.Transfer.BytesPerSecond)
	s.now = s.now.Add(testTiming.Call + 1)
	_, err = b.Import(ctx, e, plan)
	must.ErrorIs(t, err, ErrPlanExpired)
	must.NoError(t, b.Sweep(ctx))
	must.Eq(t, 8*fakeBlockBytes, b.Lookup(longer.Chain, testLayout, 0).DiskBytes)
	must.NoError(t, s.violation)
}

func TestListingKeepsConcurrentOwnerChanges(t *testing.T) {
	s := newFakeStore()
	h, e, one, two := newOwner(t, s, "a"), &fakeEngine{store: s}, request("one", 6), request("two", 6)
	_, err := export(h, e, one)
	must.NoError(t, err)
	pages := 0
	s.step = func(call string) (error, error) {
		if pages++; pages == 2 { // one page is read, the next is not
			s.step = nil
			for _, m := range h.Index.Manifests(one.Chain, testLayout) {
				must.NoError(t, h.free(ctx, m))
			}
			_, err := export(h, e, two)
			must.NoError(t, err)
		}
		return nil, nil
	}
	must.NoError(t, h.Load(ctx))
	must.Eq(t, 6, h.Lookup(two.Chain, testLayout, 0).Blocks)
	count, bytes := h.Index.Len()
	must.Eq(t, 6, count)
	must.Eq(t, 6*fakeBlockBytes, bytes)
}

func TestBreakerPausesDouble(t *testing.T) {
	b, now := newBreaker(), time.Unix(0, 0)
	b.Record(now, errDown)
	b.Record(now, ErrExists) // ErrExists shows that the store host responds
	b.Record(now, errors.Join(context.Canceled))
	for range breakerFailures {
		must.True(t, b.Allow(now))
		b.Record(now, errDown)
	}
	must.True(t, b.Open())
	for _, pause := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		must.False(t, b.Allow(now.Add(pause*time.Second-1)))
		now = now.Add(pause * time.Second)
		must.True(t, b.Allow(now))
		must.False(t, b.Allow(now))
		b.Record(now, context.DeadlineExceeded)
	}
	b.Record(now, nil)
	must.True(t, b.Allow(now))
	must.False(t, b.Open())
}

func TestStoreIndexMemory(t *testing.T) {
	const conversations, blocks = 50, 30
	bytes := heapGrowth(func() any {
		x := NewStoreIndex()
		for i := range conversations {
			req := request(fmt.Sprint("c", i), blocks)
			h := &StoreHost{newName: RandomName}
			parent := ""
			for _, p := range placements(req) {
				m := h.newManifest(req, p, parent)
				m.Checksum, m.Block = checksumOf(nil), strings.Clone(checksumOf([]byte(p.Block.ID)))
				parent = m.Key
				x.Add(m, time.Now())
			}
		}
		runtime.GC()
		return x
	}) / conversations
	t.Logf("%d bytes per block, %d per conversation of %d blocks", bytes/blocks, bytes, blocks)
	must.LessEq(t, 900, bytes/blocks)
}

func BenchmarkStoreIndexLookup60kTokens(b *testing.B) {
	s := newFakeStore()
	h, e, req := newOwner(b, s, "a"), &fakeEngine{store: s}, request("c", 30)
	if _, err := export(h, e, req); err != nil {
		b.Fatal(err)
	}
	chain := append(req.Chain, request("d", 87).Chain...)
	b.ReportAllocs()
	for b.Loop() {
		h.Lookup(chain, testLayout, 0)
	}
}
