package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/hostwire"
	"github.com/cherryward/cherryward/internal/runid"
	"github.com/cherryward/cherryward/standin/engine"
)

// nodeProcess is a node that runs in its own process and uses a fleet's simulated endpoints.
type nodeProcess struct {
	callers string
	pid     int
}

// freeAddress returns a loopback address with a port that was free at the time of the call.
func freeAddress(b *testing.B) string {
	l, err := net.Listen("tcp", loopback)
	must.NoError(b, err)
	defer l.Close()
	return l.Addr().String()
}

// startProcess builds the daemon and starts it as a fleet's only node.
func startProcess(b *testing.B, opts Options) *nodeProcess {
	opts.Log = zerolog.Nop()
	f, err := Start(opts)
	must.NoError(b, err)
	b.Cleanup(func() { must.NoError(b, f.Close()) })
	s := f.settings("node-1", domains[0])
	s.Callers.Address, s.Operators.Address, s.Peers.Address = freeAddress(b), freeAddress(b), freeAddress(b)
	file, binary := filepath.Join(b.TempDir(), "node.json"), filepath.Join(b.TempDir(), "cherryward")
	data, err := json.Marshal(s)
	must.NoError(b, err)
	must.NoError(b, os.WriteFile(file, data, 0o600))
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/cherryward").CombinedOutput()
	must.NoError(b, err, must.Sprint(string(out)))
	f.Hosts.Set(hostwire.Host{ID: s.Node.ID, Addr: s.Peers.Address, Domain: domains[0], State: hostwire.Live, Node: true})
	cmd := exec.Command(binary, "run", "--settings", file)
	cmd.Stderr = os.Stderr
	must.NoError(b, cmd.Start())
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	p := &nodeProcess{callers: "http://" + s.Callers.Address, pid: cmd.Process.Pid}
	p.configure(b, f, "http://"+s.Operators.Address)
	return p
}

// configure applies the fleet's objects. It retries until the node responds.
func (p *nodeProcess) configure(b *testing.B, f *Fleet, operators string) {
	client := ClientAt(operators)
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for _, object := range f.Objects() {
		req := &pb.ApplyRequest{ChangeId: runid.Nonce(), Object: object, Wait: true}
		_, err := client.Apply(b.Context(), connect.NewRequest(req))
		for tries := 0; err != nil && tries < 200; tries++ {
			<-ticker.C
			_, err = client.Apply(b.Context(), connect.NewRequest(req))
		}
		must.NoError(b, err)
	}
}

// peakMemory returns the peak resident memory of the process in MiB.
func (p *nodeProcess) peakMemory(b *testing.B) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	must.NoError(b, err)
	_, rest, ok := strings.Cut(string(data), "VmHWM:")
	must.True(b, ok)
	kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	must.NoError(b, err)
	return kib / 1024
}

// processorTime returns the process's user and system time in seconds.
func (p *nodeProcess) processorTime(b *testing.B) float64 {
	const ticksPerSecond = 100
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid))
	must.NoError(b, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	must.NoError(b, err)
	system, err := strconv.ParseFloat(fields[12], 64)
	must.NoError(b, err)
	return (user + system) / ticksPerSecond
}

// BenchmarkNodeProcess reports the memory and processor time of a node process with many streams
// open at the same time. Engines and callers run in another process. Streams are opened gradually,
// since the node rejects some requests of a burst.
func BenchmarkNodeProcess(b *testing.B) {
	slow := engine.Config{TimeScale: 1, DecodeStep: 300 * time.Millisecond, MaxRunning: 10000, MaxWaiting: 10000}
	for _, streams := range []int{100, 1000, 2500, 5000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			p := startProcess(b, Options{Engines: slices.Repeat([]engine.Config{slow}, 8)})
			idle := p.peakMemory(b)
			for b.Loop() {
				before := p.processorTime(b)
				must.Eq(b, streams, p.streamAll(b, streams))
				b.ReportMetric((p.processorTime(b)-before)/float64(streams*benchTokens)*1e6, "µs-processor/token")
			}
			b.ReportMetric(idle, "MiB-idle")
			b.ReportMetric(p.peakMemory(b), "MiB-peak")
		})
	}
}

// maxOpening is the maximum number of streams that wait for their response headers at the same time.
const maxOpening = 512

// streamAll returns the maximum number of streams that were open at the same time. It fails unless
// all answers are complete.
func (p *nodeProcess) streamAll(b *testing.B, streams int) int {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	gate := make(chan struct{}, maxOpening)
	var open, maxOpen, complete atomic.Int64
	var wg sync.WaitGroup
	for range streams {
		gate <- struct{}{}
		wg.Go(func() {
			answer := p.stream(b, client, func() {
				maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
				<-gate
			})
			open.Add(-1)
			if strings.Count(answer, "\ndata: ") == benchTokens+2 && strings.HasSuffix(answer, "data: [DONE]\n\n") {
				complete.Add(1)
			} else {
				b.Logf("%.300s", answer)
			}
		})
	}
	wg.Wait()
	must.Eq(b, int64(streams), complete.Load())
	return int(maxOpen.Load())
}

// stream returns the events of one answer, or the error text. onBegin is called once, when the
// response headers have arrived or the request has failed.
func (p *nodeProcess) stream(b *testing.B, client *http.Client, onBegin func()) string {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"pass or hold?"}`, Model, benchTokens)
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, p.callers+"/v1/completions", strings.NewReader(body))
	must.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+KeyOf(Accounts[0]))
	resp, err := client.Do(req)
	onBegin()
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	var out strings.Builder
	if _, err := io.Copy(&out, resp.Body); err != nil {
		return err.Error()
	}
	return out.String()
}
