package engine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/standin/store"
)

// inMemory calls a store without sockets, as synctest's virtual time requires.
type inMemory struct{ h http.Handler }

func (m inMemory) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = http.ErrServerClosed
		}
	}()
	rec := httptest.NewRecorder()
	m.h.ServeHTTP(rec, r)
	return rec.Result(), nil
}

func move(t *testing.T, e *Engine, path string, req enginewire.TransferRequest) []enginewire.TransferResult {
	t.Helper()
	req.Store = "http://store"
	s := call(t.Context(), e, http.MethodPost, path, req)
	must.Eq(t, 200, s.Code)
	var out enginewire.TransferResponse
	must.NoError(t, jsonDecode(s, &out))
	return out.Results
}

func TestTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := store.New(store.Config{MemoryBytes: 1 << 20})
		defer host.Close()
		cfg := timed
		cfg.Transport = inMemory{host.Handler()}
		cfg.BytesPerToken = 1024 // 102,400 bytes per block
		cfg.LinkBytesPerSecond = 100 * 1024
		from, to := newEngine(t, cfg), newEngine(t, cfg)
		prompt := strings.Repeat("abcd", 250)
		fs := start(from, request("a", prompt, 1)).frames(t)
		var blocks []enginewire.BlockTransfer
		for _, b := range fs[len(fs)-1].Blocks {
			blocks = append(blocks, enginewire.BlockTransfer{Block: b.ID, Name: "n-" + b.ID, Version: "v1", Salt: "salt"})
		}
		must.Len(t, 2, blocks)

		began := time.Now()
		results := move(t, from, enginewire.PathExport, enginewire.TransferRequest{Blocks: blocks})
		must.Eq(t, 1840*ms, time.Since(began).Round(ms)) // 200 KiB, of which 16 KiB pass at once
		for i, r := range results {
			must.True(t, r.OK, must.Sprint(r.Message))
			must.Eq(t, 100*1024, r.Bytes)
			blocks[i].Checksum = r.Checksum
		}
		must.StrContains(t, move(t, from, enginewire.PathExport, enginewire.TransferRequest{Blocks: blocks})[0].Message, "exists")

		began = time.Now()
		slow := enginewire.TransferRequest{Blocks: blocks, BytesPerSecond: 10 * 1024, TimeoutMS: 5000}
		must.False(t, move(t, to, enginewire.PathImport, slow)[0].OK)
		must.LessEq(t, 5*time.Second, time.Since(began))
		must.True(t, move(t, to, enginewire.PathImport, enginewire.TransferRequest{Blocks: blocks})[1].OK)
		must.Eq(t, 200, start(to, request("b", prompt, 1)).frames(t)[0].CachedTokens)

		fresh := newEngine(t, cfg)
		for name, edit := range map[string]func(*enginewire.BlockTransfer){
			"version":   func(b *enginewire.BlockTransfer) { b.Version = "v2" },
			"salt":      func(b *enginewire.BlockTransfer) { b.Salt = "other account" },
			"checksum":  func(b *enginewire.BlockTransfer) { b.Checksum = "00" },
			"not_found": func(b *enginewire.BlockTransfer) { b.Name = "unknown" },
			"block":     func(b *enginewire.BlockTransfer) { b.Name, b.Checksum = blocks[1].Name, blocks[1].Checksum },
			"block id":  func(b *enginewire.BlockTransfer) { b.Block = "xyz" },
		} {
			b := blocks[0]
			edit(&b)
			r := move(t, fresh, enginewire.PathImport, enginewire.TransferRequest{Blocks: []enginewire.BlockTransfer{b}})[0]
			must.False(t, r.OK, must.Sprint(name))
			must.NotEq(t, "", r.Message)
		}
		must.Eq(t, 2, fresh.WrongBlocks()) // salt and block
		must.SliceEmpty(t, get[enginewire.State](t, fresh, enginewire.PathState).Blocks)
		foreign := blocks[0]
		foreign.Salt, foreign.Name = "other account", "foreign"
		refused := move(t, from, enginewire.PathExport, enginewire.TransferRequest{Blocks: []enginewire.BlockTransfer{foreign}})
		must.Eq(t, errOrigin.Error(), refused[0].Message)

		from.Faults.Set(Faults{WrongExport: true})
		blocks[0].Name = "wrong"
		blocks[0].Checksum = move(t, from, enginewire.PathExport, enginewire.TransferRequest{Blocks: blocks[:1]})[0].Checksum
		must.Eq(t, errWrongBlock.Error(), move(t, fresh, enginewire.PathImport, enginewire.TransferRequest{Blocks: blocks[:1]})[0].Message)
	})
}

func TestTransfer_EndsWithProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := store.New(store.Config{MemoryBytes: 1 << 20})
		defer host.Close()
		cfg := timed
		cfg.Transport = inMemory{host.Handler()}
		cfg.BytesPerToken = 1024
		cfg.LinkBytesPerSecond = 1024
		e := newEngine(t, cfg)
		fs := start(e, request("a", strings.Repeat("abcd", 100), 1)).frames(t)
		b := enginewire.BlockTransfer{Block: fs[2].Blocks[0].ID, Name: "n", Version: "v1", Salt: "salt"}
		time.AfterFunc(time.Second, e.Restart)
		s := call(t.Context(), e, http.MethodPost, enginewire.PathExport,
			enginewire.TransferRequest{Store: "http://store", Blocks: []enginewire.BlockTransfer{b}})
		must.True(t, s.dropped)
	})
}
