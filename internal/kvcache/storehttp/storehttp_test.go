package storehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/api/wire/storewire"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/standin/engine"
	"github.com/cherryward/cherryward/standin/store"
)

const blockTokens = 512

var ctx = context.Background()

// enginePeer is a simulated engine accessed over HTTP.
type enginePeer struct {
	t      *testing.T
	engine *engine.Engine
	url    string
	index  *kvcache.EngineIndex
	runs   int
}

var _ kvcache.Engine = (*enginePeer)(nil)

func newEnginePeer(t *testing.T) *enginePeer {
	e := engine.New(engine.Config{
		Loaded:      []enginewire.Loaded{{Model: "m", Version: "v1"}, {Model: "m", Version: "v2"}},
		BlockTokens: blockTokens,
	})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() { e.Close(); server.Close() })
	return &enginePeer{t: t, engine: e, url: server.URL, index: kvcache.NewEngineIndex(1000)}
}

func (p *enginePeer) post(path string, body any) io.ReadCloser {
	data, err := json.Marshal(body)
	must.NoError(p.t, err)
	resp, err := http.Post(p.url+path, "application/json", bytes.NewReader(data))
	must.NoError(p.t, err)
	must.Eq(p.t, http.StatusOK, resp.StatusCode)
	return resp.Body
}

// run runs the prompt to completion, updates the index, and returns the number of
// prompt tokens that were cached.
func (p *enginePeer) run(req kvcache.Request, prompt string) (cached int) {
	p.runs++
	body := p.post(enginewire.PathRuns, enginewire.RunRequest{
		Run: fmt.Sprint("run", p.runs), Model: req.Model, Version: req.Version,
		CacheSalt: req.Salt, Prompt: prompt, MaxTokens: 1,
	})
	defer body.Close()
	lines := bufio.NewScanner(body)
	var run kvcache.Run
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		var frame enginewire.Frame
		must.NoError(p.t, json.Unmarshal([]byte(data), &frame))
		switch frame.Kind {
		case enginewire.FrameStart:
			cached = frame.CachedTokens
			run = kvcache.Run{Incarnation: frame.Incarnation, Chain: req.Chain, PromptSize: len(prompt), PromptTokens: frame.PromptTokens}
		case enginewire.FrameEnd:
			for _, b := range frame.Blocks {
				run.Blocks = append(run.Blocks, kvcache.Block{ID: b.ID, EndToken: b.EndToken, Bytes: b.Bytes})
			}
		}
	}
	must.SliceNotEmpty(p.t, run.Blocks)
	p.index.Observe(run)
	return cached
}

func (p *enginePeer) transfer(path string, t kvcache.Transfer) ([]kvcache.TransferResult, error) {
	req := enginewire.TransferRequest{Store: t.Store, BytesPerSecond: t.BytesPerSecond, TimeoutMS: t.Timeout.Milliseconds()}
	for _, b := range t.Blocks {
		req.Blocks = append(req.Blocks, enginewire.BlockTransfer(b))
	}
	body := p.post(path, req)
	defer body.Close()
	var resp enginewire.TransferResponse
	err := json.NewDecoder(body).Decode(&resp)
	var out []kvcache.TransferResult
	for _, r := range resp.Results {
		out = append(out, kvcache.TransferResult{Block: r.Block, OK: r.OK, Checksum: r.Checksum, Bytes: r.Bytes})
	}
	return out, err
}

func (p *enginePeer) Export(_ context.Context, t kvcache.Transfer) ([]kvcache.TransferResult, error) {
	return p.transfer(enginewire.PathExport, t)
}

func (p *enginePeer) Import(_ context.Context, t kvcache.Transfer) ([]kvcache.TransferResult, error) {
	return p.transfer(enginewire.PathImport, t)
}

// newStoreHost returns a simulated store host served over HTTP, a client and its owner.
func newStoreHost(t *testing.T) (*store.Store, *Client, *kvcache.StoreHost) {
	s := store.New(store.Config{MemoryBytes: 20 << 10, DiskBytes: 1 << 30})
	server := httptest.NewServer(s.Handler())
	t.Cleanup(func() { s.Close(); server.Close() })
	client := NewClient(server.URL, server.Client())
	h, err := kvcache.NewStoreHost(server.URL, client, time.Now, kvcache.RandomName, kvcache.DefaultTiming())
	must.NoError(t, err)
	_, err = h.Refresh(ctx)
	must.NoError(t, err)
	return s, client, h
}

func newRequest(t *testing.T, account, version, prompt string) kvcache.Request {
	salter, err := kvcache.NewSalter([]byte("0123456789abcdef"))
	must.NoError(t, err)
	id := kvcache.Identity{Account: account, Model: "m", Version: version}
	return kvcache.Request{Identity: id, Layout: engine.DefaultKVLayout, Salt: salter.CacheSalt(account), Chain: id.TextChain(prompt)}
}

// cachedAfterMove exports the prompt's blocks from one engine, injects the fault,
// imports them into another engine and returns the number of prompt tokens that the
// second engine has cached.
func cachedAfterMove(t *testing.T, fault func(*store.Store, *Client), from, to kvcache.Request, prompt string) int {
	s, client, h := newStoreHost(t)
	a, b := newEnginePeer(t), newEnginePeer(t)
	must.Eq(t, 0, a.run(from, prompt))
	s.Snapshot()
	plan, err := h.PlanExport(from, a.index.Placements(from.Chain), 0, 0)
	must.NoError(t, err)
	must.Positive(t, plan.Bytes())
	_, _ = h.Export(ctx, a, plan)
	if fault != nil {
		fault(s, client)
	}
	imports, err := h.PlanImport(ctx, to, 0, 0, 0)
	if err == nil {
		got, _ := h.Import(ctx, b, imports)
		b.index.ObserveImport(b.engine.Incarnation(), got)
		indexed := b.index.Lookup(to.Chain, 0).Tokens
		cached := b.run(to, prompt)
		must.Eq(t, indexed, cached)
		must.Eq(t, 0, b.engine.WrongBlocks())
		return cached
	}
	return b.run(to, prompt)
}

func TestBlocksOverHTTP(t *testing.T) {
	prompt := strings.Repeat("heat 4711 pour 12 ladle 3 hold;\n", 600) // 9 blocks
	whole := 9 * blockTokens
	req := newRequest(t, "a", "v1", prompt)
	lastBlock := func(c *Client) string {
		page, err := c.ListManifests(ctx, "", 100)
		must.NoError(t, err)
		must.Len(t, 9, page.Manifests)
		for _, m := range page.Manifests {
			if m.Index == 8 {
				return m.Name
			}
		}
		return ""
	}
	cases := []struct {
		name   string
		to     kvcache.Request
		fault  func(*store.Store, *Client)
		cached int
	}{
		{"no fault", req, nil, whole},
		{"another account", newRequest(t, "b", "v1", prompt), nil, 0},
		{"another version", newRequest(t, "a", "v2", prompt), nil, 0},
		{"corrupted", req, func(s *store.Store, c *Client) { must.NoError(t, s.Corrupt(lastBlock(c))) }, whole - blockTokens},
		{"missing", req, func(_ *store.Store, c *Client) { must.NoError(t, c.DeleteBlock(ctx, lastBlock(c))) }, whole - blockTokens},
		{"contents lost", req, func(s *store.Store, _ *Client) { s.Lose() }, 0},
		{"contents rolled back", req, func(s *store.Store, _ *Client) { must.NoError(t, s.Rollback()) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.cached, cachedAfterMove(t, c.fault, req, c.to, prompt))
		})
	}
}

func TestAbortedWritesOverHTTP(t *testing.T) {
	prompt := strings.Repeat("heat 4711 pour 12 ladle 3 hold;\n", 600)
	req := newRequest(t, "a", "v1", prompt)
	s, client, h := newStoreHost(t)
	a := newEnginePeer(t)
	a.run(req, prompt)
	for _, fault := range []store.Faults{{BreakAfter: 100}, {Full: true}} {
		s.Faults.Set(fault)
		h, err := kvcache.NewStoreHost(h.URL(), client, time.Now, kvcache.RandomName, kvcache.DefaultTiming())
		must.NoError(t, err)
		plan, err := h.PlanExport(req, a.index.Placements(req.Chain), 0, 0)
		must.NoError(t, err)
		n, err := h.Export(ctx, a, plan)
		must.ErrorIs(t, err, kvcache.ErrNotVerified)
		must.Eq(t, 0, n)
		manifests, err := client.ListManifests(ctx, "", 100)
		must.NoError(t, err)
		must.SliceEmpty(t, manifests.Manifests)
	}
}

func TestClientErrors(t *testing.T) {
	s, c, _ := newStoreHost(t)
	m := kvcache.Manifest{Key: "k.1", Name: "n", Identity: kvcache.Identity{Account: "a"}}
	must.NoError(t, c.PutManifest(ctx, m))
	must.ErrorIs(t, c.PutManifest(ctx, m), kvcache.ErrExists)
	must.ErrorIs(t, c.DeleteManifest(ctx, m.Key, "other"), kvcache.ErrNotFound)
	got, err := c.Manifest(ctx, m.Key)
	must.NoError(t, err)
	must.Eq(t, m, got)
	must.NoError(t, c.DeleteManifest(ctx, m.Key, "n"))
	_, err = c.Manifest(ctx, m.Key)
	must.ErrorIs(t, err, kvcache.ErrNotFound)
	for _, name := range []string{"AAAB", "AAAC", "AAB2"} {
		rec := httptest.NewRecorder()
		s.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPut, storewire.PathBlocks+"/"+name, strings.NewReader(name)))
		must.Eq(t, http.StatusCreated, rec.Code)
		info, err := c.BlockInfo(ctx, name)
		must.NoError(t, err)
		must.True(t, info.Complete && info.Name == name && info.Bytes == 4)
	}
	for _, name := range []string{"", "AAAA", "AAAD", "AAB", "ZZZZ"} {
		_, err = c.BlockInfo(ctx, name)
		must.ErrorIs(t, err, kvcache.ErrNotFound)
	}
	usage, err := c.Usage(ctx)
	must.NoError(t, err)
	must.Eq(t, 12, usage.Used)
}
