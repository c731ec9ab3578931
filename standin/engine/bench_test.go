package engine

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cherryward/cherryward/api/wire/enginewire"
)

// BenchmarkStream measures streaming over loopback without simulated delays; ns/op is the time per
// token.
func BenchmarkStream(b *testing.B) {
	const tokens = 1000
	url := listen(b, Config{})
	b.ReportAllocs()
	for i := 0; i < b.N; i += tokens {
		read(b, url, request(fmt.Sprint("run-", i), "prompt", tokens))
	}
}

// BenchmarkManyStreams runs 5,000 concurrent streams at 50 tokens per second each.
func BenchmarkManyStreams(b *testing.B) {
	const streams, tokens = 5000, 100
	url := listen(b, Config{TimeScale: 1, MaxRunning: streams, MaxWaiting: streams, PrefillSpeed: 1e6})
	for i := range b.N {
		var wg sync.WaitGroup
		var bytes atomic.Int64
		began := time.Now()
		for j := range streams {
			wg.Go(func() {
				bytes.Add(read(b, url, request(fmt.Sprint(i, "-", j), "prompt", tokens)))
			})
		}
		wg.Wait()
		b.ReportMetric(streams*tokens/time.Since(began).Seconds(), "tokens/s")
		b.ReportMetric(float64(bytes.Load())/(streams*tokens), "B/token")
	}
}

func listen(b *testing.B, cfg Config) string {
	cfg.Loaded = []enginewire.Loaded{{Model: "m", Version: "v1"}}
	e := New(cfg)
	srv := httptest.NewServer(e.Handler())
	b.Cleanup(func() { e.Close(); srv.Close() })
	return srv.URL + enginewire.PathRuns
}

func read(b *testing.B, url string, req enginewire.RunRequest) int64 {
	resp, err := http.Post(url, "application/json", bytes.NewReader(marshal(req)))
	if err != nil {
		b.Error(err)
		return 0
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Error(resp.StatusCode, err)
	}
	return n
}
