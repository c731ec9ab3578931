package store

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/cherryward/cherryward/api/wire/storewire"
	"github.com/cherryward/cherryward/standin/fault"
)

// linkBurst is the burst size of the link in bytes.
const linkBurst = 16 << 10

var (
	errTruncated = errors.New("the block was truncated")
	errStopped   = errors.New("the store host stopped")
)

// putBlock stores a block of known length and responds with status 201 and its info. A write that
// is interrupted or fails the checksum leaves an incomplete block.
func (s *Store) putBlock(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength < 0 {
		writeError(w, storewire.ErrBadRequest, "Content-Length is required")
		return
	}
	b, c, code := s.reserve(r.PathValue("name"), r.ContentLength)
	if code != "" {
		writeError(w, code, "can't write the block")
		return
	}
	data, err := s.receive(r)
	sum := sha256.Sum256(data)
	checksum := hex.EncodeToString(sum[:])
	expected := r.Header.Get(storewire.HeaderChecksum)
	valid := expected == "" || expected == checksum
	s.mu.Lock()
	b.data = data
	b.checksum = checksum
	b.complete = err == nil && valid
	if c.blocks[b.name] == b {
		c.resize(b, int64(len(data)))
	}
	info := b.info()
	s.mu.Unlock()
	if err != nil {
		fault.Drop()
	}
	if !valid {
		writeError(w, storewire.ErrChecksum, "checksum mismatch: the bytes have checksum "+checksum)
		return
	}
	fault.WriteJSON(w, http.StatusCreated, info)
}

// reserve reserves a name and space for a block. It also returns the contents that the block
// belongs to, since a rollback replaces those of the store.
func (s *Store) reserve(name string, size int64) (*block, *contents, storewire.ErrorCode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, used := s.current.usedNames[name]; used {
		return nil, nil, storewire.ErrExists
	}
	if s.Faults.Get().Full {
		return nil, nil, storewire.ErrFull
	}
	b := s.current.reserve(name, size, s.cfg)
	if b == nil {
		return nil, nil, storewire.ErrFull
	}
	return b, s.current, ""
}

// receive returns the received bytes, and an error if the body is incomplete.
func (s *Store) receive(r *http.Request) ([]byte, error) {
	var body io.Reader = r.Body
	limit := s.Faults.Get().BreakAfter
	if limit > 0 {
		body = io.LimitReader(body, limit)
	}
	data, err := io.ReadAll(s.throttle(r.Context(), body))
	if err == nil && int64(len(data)) < r.ContentLength {
		err = errTruncated
	}
	return data, err
}

func (s *Store) getBlock(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.mu.Lock()
	b := s.current.blocks[name]
	var copied block
	if b != nil {
		copied = *b
	}
	s.mu.Unlock()
	switch {
	case b == nil:
		writeError(w, storewire.ErrNotFound, "no such block")
		return
	case !copied.complete:
		writeError(w, storewire.ErrIncomplete, "the block was only partly written")
		return
	}
	if s.Faults.Get().CorruptReads {
		copied.data = flipBit(copied.data)
	}
	if copied.tier == storewire.TierDisk && !fault.Sleep(r.Context().Done(), s.diskTime(copied.size)) {
		return
	}
	s.sendBlock(w, r, &copied)
}

func (s *Store) diskTime(size int64) time.Duration {
	d := s.cfg.DiskLatency
	if s.cfg.DiskBytesPerSecond > 0 {
		d += time.Duration(float64(size) / float64(s.cfg.DiskBytesPerSecond) * float64(time.Second))
	}
	return d
}

func (s *Store) sendBlock(w http.ResponseWriter, r *http.Request, b *block) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(b.data)))
	w.Header().Set(storewire.HeaderChecksum, b.checksum)
	for rest := b.data; len(rest) > 0; {
		n := min(len(rest), linkBurst)
		if err := s.waitForLink(r.Context(), n); err != nil {
			fault.Drop()
		}
		if _, err := w.Write(rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
	}
}

func (s *Store) deleteBlock(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	b := s.current.blocks[r.PathValue("name")]
	if b != nil {
		s.current.free(b)
	}
	s.mu.Unlock()
	if b == nil {
		writeError(w, storewire.ErrNotFound, "no such block")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// throttled is a reader that is limited to the rate of the link.
type throttled struct {
	ctx context.Context
	s   *Store
	r   io.Reader
}

var _ io.Reader = throttled{}

func (s *Store) throttle(ctx context.Context, r io.Reader) io.Reader {
	return throttled{ctx, s, r}
}

func (t throttled) Read(p []byte) (int, error) {
	n, err := t.r.Read(p[:min(len(p), linkBurst)])
	if linkErr := t.s.waitForLink(t.ctx, n); linkErr != nil {
		return n, linkErr
	}
	return n, err
}

// waitForLink waits until the link allows n bytes. It fails if the host is closed or dead.
func (s *Store) waitForLink(ctx context.Context, n int) error {
	select {
	case <-s.closed:
		return errStopped
	default:
	}
	if !s.Faults.Wait(ctx.Done()) {
		return errStopped
	}
	perSecond := s.cfg.LinkBytesPerSecond
	if f := s.Faults.Get().LinkBytesPerSecond; f > 0 {
		perSecond = f
	}
	s.setLink(perSecond)
	return s.link.WaitN(ctx, n)
}

func (s *Store) setLink(perSecond int64) {
	want := rate.Inf
	if perSecond > 0 {
		want = rate.Limit(perSecond)
	}
	if s.link.Limit() != want {
		s.link.SetLimit(want)
	}
}
