package demo

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	engineclient "github.com/cherryward/cherryward/internal/endpoint/engine"
	"github.com/cherryward/cherryward/internal/runid"
	"github.com/cherryward/cherryward/standin/engine"
)

const benchTokens = 64

// runDirect runs a prompt at an engine, without a node, and returns the times to its first token and
// to its end.
func runDirect(b *testing.B, client *engineclient.Client, url, prompt string) (first, total time.Duration) {
	start := time.Now()
	stream, err := client.Start(b.Context(), url, &enginewire.RunRequest{Run: runid.Nonce(), Model: Model, Version: Version, CacheSalt: "s", Prompt: prompt, MaxTokens: benchTokens})
	must.NoError(b, err)
	defer stream.Close()
	var frame enginewire.Frame
	for stream.Next(&frame) == nil {
		if frame.Kind == enginewire.FrameTokens && first == 0 {
			first = time.Since(start)
		}
	}
	return first, time.Since(start)
}

// runThroughNode runs a prompt through a node and returns the times to its first token and to its
// end.
func runThroughNode(b *testing.B, m *Member, prompt string) (first, total time.Duration) {
	start := time.Now()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":%q}`, Model, benchTokens, prompt)
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, m.URL()+"/v1/completions", strings.NewReader(body))
	must.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+KeyOf(Accounts[0]))
	resp, err := http.DefaultClient.Do(req)
	must.NoError(b, err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if first == 0 && strings.HasPrefix(lines.Text(), "data:") {
			first = time.Since(start)
		}
	}
	must.NoError(b, lines.Err())
	return first, time.Since(start)
}

// median sorts the times and returns their median in microseconds.
func median(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)/2].Microseconds())
}

// BenchmarkAddedLatency reports the latency that a node adds to an engine: for a short prompt, which
// needs no estimates, and for a long one, which does. Both paths are measured in the same run.
func BenchmarkAddedLatency(b *testing.B) {
	for _, size := range []int{200, 32_000} {
		b.Run(fmt.Sprintf("prompt=%dB", size), func(b *testing.B) {
			f := startFleet(b, Options{Nodes: 3, Engines: []engine.Config{{TimeScale: 0}, {TimeScale: 0}, {TimeScale: 0}}})
			client := engineclient.NewClient()
			prompt := strings.Repeat("pass or hold? ", size/14)
			var directFirst, nodeFirst, directTotal, nodeTotal []time.Duration
			for b.Loop() {
				first, total := runDirect(b, client, f.EngineURLs[0], prompt)
				directFirst, directTotal = append(directFirst, first), append(directTotal, total)
				first, total = runThroughNode(b, f.Nodes[0], prompt)
				nodeFirst, nodeTotal = append(nodeFirst, first), append(nodeTotal, total)
			}
			b.ReportMetric(median(directFirst), "µs-first-direct")
			b.ReportMetric(median(nodeFirst), "µs-first-node")
			b.ReportMetric((median(nodeTotal)-median(directTotal))/benchTokens*1000, "ns-added/token")
		})
	}
}

// BenchmarkOpenStreams reports the memory per open stream of a whole fleet in one process, including
// engines and callers.
func BenchmarkOpenStreams(b *testing.B) {
	for _, streams := range []int{1000, 2500, 5000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			f := startFleet(b, Options{Nodes: 1, Engines: []engine.Config{{TimeScale: 1, DecodeStep: 200 * time.Millisecond, MaxRunning: 10000, MaxWaiting: 10000}}})
			before := memoryInUse()
			for b.Loop() {
				var wg sync.WaitGroup
				for range streams {
					wg.Go(func() { runThroughNode(b, f.Nodes[0], "pass or hold?") })
				}
				b.ReportMetric(peakMemory(&wg, before)/float64(streams)/1024, "KiB/stream")
			}
		})
	}
}

// peakMemory returns the maximum increase of memory over before, sampled until the group is done.
func peakMemory(wg *sync.WaitGroup, before float64) float64 {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	maximum := 0.0
	for {
		select {
		case <-done:
			return maximum
		case <-ticker.C:
			maximum = max(maximum, memoryInUse()-before)
		}
	}
}

func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
