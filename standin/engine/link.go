package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"

	"golang.org/x/time/rate"
)

// link limits the rate of transfers in bytes per second.
type link struct{ limiter *rate.Limiter }

// maxBurst is the burst size of a link in bytes.
const linkBurst = 16 << 10

func newLink(bytesPerSecond int64, timeScale float64) *link {
	if bytesPerSecond == 0 || timeScale == 0 {
		return &link{rate.NewLimiter(rate.Inf, linkBurst)}
	}
	return &link{rate.NewLimiter(rate.Limit(float64(bytesPerSecond)/timeScale), linkBurst)}
}

// throttled is a reader that is limited to the rates of the engine's link and of its transfer.
type throttled struct {
	ctx context.Context
	e   *Engine
	t   transfer
	r   io.Reader
}

var _ io.Reader = throttled{}

func (e *Engine) throttle(ctx context.Context, t transfer, r io.Reader) io.Reader {
	return throttled{ctx, e, t, r}
}

func (t throttled) Read(p []byte) (int, error) {
	if !t.e.Faults.Wait(t.ctx.Done()) || t.t.ended(t.e) {
		return 0, errEnded
	}
	n, err := t.r.Read(p[:min(len(p), linkBurst)])
	for _, l := range [...]*link{t.e.link, t.t.limit} {
		if linkErr := l.limiter.WaitN(t.ctx, n); linkErr != nil {
			return 0, linkErr
		}
	}
	return n, err
}

func parseBlockID(s string) (id blockID, err error) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(id) {
		return id, fmt.Errorf("block id %q is not %d bytes in hex", s, len(id))
	}
	return blockID(raw), nil
}

// blockContent returns the exported bytes of a block. They are derived from its id, origin and
// layout, so the bytes of different blocks differ.
func (e *Engine) blockContent(id blockID, from origin) []byte {
	seed := sha256.Sum256(fmt.Appendf(nil, "%s %q %q", id, e.cfg.KVLayout, from))
	out := make([]byte, e.cfg.blockBytes())
	// ChaCha8.Read never fails.
	_, _ = rand.NewChaCha8(seed).Read(out)
	return out
}
