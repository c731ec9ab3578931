package telemetry_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/cherryward/cherryward/internal/demo"
	"github.com/cherryward/cherryward/standin/engine"
)

// read returns the values of a node's metrics by name and labels.
func read(t *testing.T, m *demo.Member) map[string]float64 {
	t.Helper()
	resp, err := http.Get("http://" + m.CallersAddr().String() + "/metrics")
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	out := map[string]float64{}
	for line := range strings.Lines(string(body)) {
		if !strings.HasPrefix(line, "cherryward_") && !strings.HasPrefix(line, "process_") {
			continue
		}
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		out[name], err = strconv.ParseFloat(value, 64)
		must.NoError(t, err, must.Sprint(line))
	}
	return out
}

func TestNodesServeMetrics(t *testing.T) {
	f, err := demo.Start(demo.Options{Nodes: 2, Engines: make([]engine.Config, 3), Log: zerolog.Nop()})
	must.NoError(t, err)
	defer func() { must.NoError(t, f.Close()) }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = f.Configure(ctx)
	must.NoError(t, err)
	owned := func() (n float64) {
		for _, m := range f.Nodes {
			n += read(t, m)["cherryward_owned_endpoints"]
		}
		return n
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return owned() == 3 }), wait.Timeout(10*time.Second)))
	for _, m := range f.Nodes {
		values := read(t, m)
		must.Eq(t, 2, values[`cherryward_members{state="alive"}`])
		must.Positive(t, values["cherryward_peer_sent_bytes_total"])
		must.Positive(t, values["cherryward_peer_received_bytes_total"])
		must.Positive(t, values["cherryward_config_applied_offset"])
		must.Eq(t, 1, values["cherryward_config_ready"])
		must.Positive(t, values["process_cpu_seconds_total"])
	}
}
