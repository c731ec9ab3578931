package engine

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/api/wire/storewire"
	"github.com/cherryward/cherryward/standin/fault"
)

// Reasons why a block is not transferred.
var (
	errNotInMemory = errors.New("the block is not in memory")
	errOrigin      = errors.New("the block has another version or salt")
	errNotLoaded   = errors.New("the version is not loaded")
	errChecksum    = errors.New("the bytes don't match the checksum")
	errEnded       = errors.New("the engine process ended")
	errWrongBlock  = errors.New("the bytes belong to another block")
)

// transfer is an export or import request in progress.
type transfer struct {
	store      string
	limit      *link           // rate limit of this request
	terminated <-chan struct{} // closed when the incarnation ends
}

// moveBlock exports or imports a block.
type moveBlock func(context.Context, transfer, enginewire.BlockTransfer) (enginewire.TransferResult, error)

// serveTransfer returns a handler that transfers the blocks of a request sequentially, with one
// result per block.
func (e *Engine) serveTransfer(move moveBlock) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req enginewire.TransferRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
			writeError(w, notRun(enginewire.ErrBadRequest, err.Error()))
			return
		}
		ctx := r.Context()
		if req.TimeoutMS > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
			defer cancel()
		}
		e.mu.Lock()
		t := transfer{req.Store, newLink(req.BytesPerSecond, e.cfg.TimeScale), e.terminated}
		e.mu.Unlock()
		var answer enginewire.TransferResponse
		for _, b := range req.Blocks {
			result, err := move(ctx, t, b)
			result.Block = b.Block
			result.OK = err == nil
			if err != nil {
				result.Message = err.Error()
			}
			answer.Results = append(answer.Results, result)
		}
		if t.ended(e) {
			fault.Drop()
		}
		fault.WriteJSON(w, http.StatusOK, answer)
	}
}

// ended reports whether the incarnation that executes the transfer ended or the process is dead.
func (t transfer) ended(e *Engine) bool {
	select {
	case <-t.terminated:
		return true
	default:
		return e.Faults.Get().Dead
	}
}

func (t transfer) url(name string) string {
	return t.store + storewire.PathBlocks + "/" + url.PathEscape(name)
}

// exportBlock writes a cached block to the store. The block can't be evicted meanwhile.
func (e *Engine) exportBlock(ctx context.Context, t transfer, b enginewire.BlockTransfer) (res enginewire.TransferResult, err error) {
	id, from, release, err := e.hold(b)
	if err != nil {
		return res, err
	}
	defer release()
	if e.Faults.Get().WrongExport {
		id[0]++
	}
	data := e.blockContent(id, from)
	sum := sha256.Sum256(data)
	checksum := hex.EncodeToString(sum[:])
	body := e.throttle(ctx, t, bytes.NewReader(data))
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, t.url(b.Name), body)
	if err != nil {
		return res, err
	}
	req.ContentLength = int64(len(data))
	req.Header.Set(storewire.HeaderChecksum, checksum)
	resp, err := e.cfg.Transport.RoundTrip(req)
	if err != nil {
		return res, err
	}
	defer resp.Body.Close()
	if err := storeError(resp); err != nil {
		return res, err
	}
	return enginewire.TransferResult{Checksum: checksum, Bytes: int64(len(data))}, nil
}

// hold pins a cached block until release is called.
func (e *Engine) hold(b enginewire.BlockTransfer) (id blockID, from origin, release func(), err error) {
	id, err = parseBlockID(b.Block)
	if err != nil {
		return id, from, nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	in, entry := e.incarnation, e.cache.get(id)
	switch {
	case entry == nil:
		return id, from, nil, errNotInMemory
	case entry.from.version != b.Version || entry.from.salt != b.Salt:
		return id, from, nil, errOrigin
	}
	entry.pinned++
	release = func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		in.cache.pin([]blockID{id}, -1)
	}
	return id, entry.from, release, nil
}

// importBlock reads a block from the store. It is cached only if its bytes match the checksum of
// the request and the block id.
func (e *Engine) importBlock(ctx context.Context, t transfer, b enginewire.BlockTransfer) (res enginewire.TransferResult, err error) {
	id, err := parseBlockID(b.Block)
	if err != nil {
		return res, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.url(b.Name), nil)
	if err != nil {
		return res, err
	}
	resp, err := e.cfg.Transport.RoundTrip(req)
	if err != nil {
		return res, err
	}
	defer resp.Body.Close()
	if err := storeError(resp); err != nil {
		return res, err
	}
	data, err := io.ReadAll(e.throttle(ctx, t, io.LimitReader(resp.Body, e.cfg.blockBytes()+1)))
	if err != nil {
		return res, err
	}
	res.Bytes = int64(len(data))
	if sum := sha256.Sum256(data); hex.EncodeToString(sum[:]) != b.Checksum {
		return res, errChecksum
	}
	return res, e.cacheImport(t, id, b, data)
}

func (e *Engine) cacheImport(t transfer, id blockID, b enginewire.BlockTransfer, data []byte) error {
	if t.ended(e) {
		return errEnded
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	err := errNotLoaded
	for _, l := range e.loaded {
		if l.loading || l.key.version != b.Version {
			continue
		}
		from := origin{l.key.model, l.key.version, l.key.adapter, b.Salt}
		if !bytes.Equal(data, e.blockContent(id, from)) {
			err = errWrongBlock
			continue
		}
		if e.cache.insert([]blockID{id}, from) == 0 {
			return errors.New("the cache is full")
		}
		return nil
	}
	if errors.Is(err, errWrongBlock) {
		e.wrongBlocks++
	}
	return err
}

// WrongBlocks returns the number of imports whose bytes had the requested checksum but belonged to
// another block, version or salt. A real engine would have used them.
func (e *Engine) WrongBlocks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.wrongBlocks
}

func storeError(resp *http.Response) error {
	if resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	var body storewire.Error
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return fmt.Errorf("store: status %d", resp.StatusCode)
	}
	return fmt.Errorf("store: %s: %s", body.Code, body.Message)
}
