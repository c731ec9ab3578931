package measure

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/daemon"
	"github.com/cherryward/cherryward/standin/engine"
)

var measureFlag = flag.Bool("measure", false, "run the measurements, about a minute each")

// nodeVariable is the environment variable that names the settings file if the test binary is to run as
// a node.
const nodeVariable = "CHERRYWARD_MEASURE_NODE"

func TestMain(m *testing.M) {
	if file := os.Getenv(nodeVariable); file != "" {
		os.Exit(daemon.Main([]string{"cherryward", "run", "--settings", file}))
	}
	os.Exit(m.Run())
}

func command(file string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), nodeVariable+"="+file)
	return cmd
}

func startFleet(t *testing.T, opts Options) *Fleet {
	opts.Command = command
	f, err := Start(t.Context(), opts)
	must.NoError(t, err)
	return f
}

// TestIdle prints the resource usage of a node without requests, by the number of nodes.
func TestIdle(t *testing.T) {
	if !*measureFlag {
		t.Skip("a measurement: run with -measure")
	}
	for _, nodes := range []int{3, 7, 14, 28} {
		f := startFleet(t, Options{Nodes: nodes})
		retry.Sleep(t.Context(), 2*time.Second)
		c, err := f.Measure(t.Context(), func(ctx context.Context) error {
			retry.Sleep(ctx, 8*time.Second)
			return nil
		})
		must.NoError(t, err)
		r := c.rate()
		t.Logf("nodes=%d sent=%.0f B/s received=%.0f B/s most=%.0f B/s calls=%.2f/s cpu=%.3f%% resident=%.1f MB",
			nodes, r.Sent, r.Received, r.MaxBytes, r.Calls, 100*r.CPU, r.Resident/1e6)
		must.NoError(t, f.Close())
	}
}

// TestOwned prints the resource usage of a node without requests, by the number of engines it owns.
func TestOwned(t *testing.T) {
	if !*measureFlag {
		t.Skip("a measurement: run with -measure")
	}
	for _, engines := range []int{0, 6, 12, 24} {
		f := startFleet(t, Options{Nodes: 1, Engines: engines})
		retry.Sleep(t.Context(), 2*time.Second)
		c, err := f.Measure(t.Context(), func(ctx context.Context) error {
			retry.Sleep(ctx, 8*time.Second)
			return nil
		})
		must.NoError(t, err)
		t.Logf("engines=%d cpu=%.3f%% resident=%.1f MB", engines, 100*c.rate().CPU, c.Resident/1e6)
		must.NoError(t, f.Close())
	}
}

// TestRequests prints the cost of a request, by nodes, prompt bytes and tokens.
func TestRequests(t *testing.T) {
	if !*measureFlag {
		t.Skip("a measurement: run with -measure")
	}
	for _, nodes := range []int{3, 5, 7} {
		f := startFleet(t, Options{Nodes: nodes, Engines: 3, Stores: 2})
		must.NoError(t, f.Send(t.Context(), Batch{Requests: 100, Prompt: 200, MaxTokens: 4, MaxConcurrent: 8}, "warm "))
		idle, err := f.Measure(t.Context(), func(ctx context.Context) error { retry.Sleep(ctx, 3*time.Second); return nil })
		must.NoError(t, err)
		for i, b := range []Batch{
			{Requests: 420, Prompt: 200, MaxTokens: 64, MaxConcurrent: 8}, {Requests: 420, Prompt: 200, MaxTokens: 256, MaxConcurrent: 8}, {Requests: 210, Prompt: 200, MaxTokens: 1024, MaxConcurrent: 8},
			{Requests: 210, Prompt: 32_000, MaxTokens: 64, MaxConcurrent: 8}, {Requests: 210, Prompt: 120_000, MaxTokens: 64, MaxConcurrent: 8}, {Requests: 210, Prompt: 240_000, MaxTokens: 64, MaxConcurrent: 8},
		} {
			c, err := f.Measure(t.Context(), func(ctx context.Context) error { return f.Send(ctx, b, strings.Repeat("b", i+1)) })
			must.NoError(t, err)
			n := float64(b.Requests) / float64(nodes)
			rest := idle.rate()
			t.Logf("nodes=%d prompt=%d tokens=%d: sent=%.0f B received=%.0f B calls=%.2f cpu=%.3f ms a request, %.0f requests/s, resident=%.1f MB", nodes, b.Prompt, b.MaxTokens,
				(c.Sent-rest.Sent*c.Seconds)/n, (c.Received-rest.Received*c.Seconds)/n, (c.Calls-rest.Calls*c.Seconds)/n, 1000*(c.CPU-rest.CPU*c.Seconds)/n, float64(b.Requests)/c.Seconds, c.Resident/1e6)
		}
		must.NoError(t, f.Close())
	}
}

// TestStreams prints the memory of one node, by the number of open streams.
func TestStreams(t *testing.T) {
	if !*measureFlag {
		t.Skip("a measurement: run with -measure")
	}
	slow := engine.Config{TimeScale: 1, DecodeStep: 200 * time.Millisecond, MaxRunning: 10_000, MaxWaiting: 10_000}
	for _, streams := range []int{0, 500, 1000, 1500} {
		f := startFleet(t, Options{Nodes: 1, Engines: 1, Engine: slow})
		sent := make(chan error, 1)
		go func() {
			sent <- f.Send(t.Context(), Batch{Requests: streams, Prompt: 200, MaxTokens: 40, MaxConcurrent: max(streams, 1)}, "s")
		}()
		retry.Sleep(t.Context(), 5*time.Second)
		s, err := f.Nodes[0].read(t.Context())
		must.NoError(t, err)
		must.NoError(t, <-sent)
		t.Logf("streams=%d resident=%.1f MB", streams, s.Resident/1e6)
		must.NoError(t, f.Close())
	}
}

// TestCost verifies parsing of a node's metrics and the cost computed from samples.
func TestCost(t *testing.T) {
	read := func(text string, at int64) Sample {
		s, err := parse(strings.NewReader(text))
		must.NoError(t, err)
		s.At = time.Unix(at, 0)
		return s
	}
	first := read("cherryward_peer_sent_bytes_total 100\ncherryward_peer_received_bytes_total 50\nprocess_cpu_seconds_total 0.25\nother 7\n", 10)
	must.Eq(t, Sample{At: time.Unix(10, 0), Sent: 100, Received: 50, CPU: 0.25}, first)
	second := read("cherryward_peer_sent_bytes_total 300\ncherryward_peer_received_bytes_total 90\nprocess_cpu_seconds_total 0.75\nprocess_resident_memory_bytes 1e6\n", 14)
	idle := read("cherryward_peer_sent_bytes_total 100\ncherryward_peer_received_bytes_total 50\nprocess_cpu_seconds_total 0.25\n", 14)
	c := costOf([]Sample{first, first}, []Sample{second, idle})
	must.Eq(t, Cost{Seconds: 4, Sent: 100, Received: 20, CPU: 0.25, Resident: 5e5, MaxBytes: 240}, c)
	must.Eq(t, Cost{Seconds: 1, Sent: 25, Received: 5, CPU: 0.0625, Resident: 5e5, MaxBytes: 60}, c.rate())
	_, err := parse(strings.NewReader("process_cpu_seconds_total much\n"))
	must.Error(t, err)
}
