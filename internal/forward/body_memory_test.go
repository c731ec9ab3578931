package forward_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/forward"
)

// heldBody is a body that counts what was read of it, and whose last byte is held until release is closed.
type heldBody struct {
	io.Reader
	release <-chan struct{}
	read    *atomic.Int64
}

func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read.Add(int64(n))
	if err == io.EOF {
		<-b.release
	}
	return n, err
}

// TestBodiesOfAllCallersFitInMemory guards against bodies that are read at the same time and together take more memory
// than the host has for them.
func TestBodiesOfAllCallersFitInMemory(t *testing.T) {
	const (
		callers   = 24
		bodyBytes = 4 << 20
		memory    = 16 << 20
	)
	for _, declared := range []bool{true, false} {
		h := newTestHandler(t, "")
		h.handler.Buffers = forward.NewBuffers(memory)
		h.state.config.Limits.BodyBytes = bodyBytes
		release := make(chan struct{})
		var read, ended atomic.Int64
		var peak int64
		var calls sync.WaitGroup
		statuses := make([]int, callers)
		for i := range callers {
			calls.Go(func() {
				defer ended.Add(1)
				req := h.request(t, http.MethodPost, uploadPath, "", nil)
				req.Body = io.NopCloser(&heldBody{Reader: strings.NewReader(strings.Repeat("x", bodyBytes)), release: release, read: &read})
				if declared {
					req.ContentLength = bodyBytes
				}
				resp, err := http.DefaultTransport.RoundTrip(req)
				if err != nil {
					return // the node closed the connection before it had read the body
				}
				resp.Body.Close()
				statuses[i] = resp.StatusCode
			})
		}
		for ended.Load() == 0 { // until the first is refused
			peak = max(peak, h.handler.Buffers.Used())
		}
		close(release)
		calls.Wait()
		served := 0
		for _, status := range statuses {
			test.SliceContains(t, []int{0, http.StatusOK, http.StatusServiceUnavailable}, status)
			if status == http.StatusOK {
				served++
			}
		}
		test.LessEq(t, memory, peak)
		must.Positive(t, served)
		test.Len(t, served, h.servers[0].Runs())
		test.Eq(t, 0, h.handler.Buffers.Used())
	}
}
