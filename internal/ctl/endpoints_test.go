package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/tidwall/gjson"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/tcp/tcptest"
)

// restrictedFleet returns a fleet with an endpoint for each kind of restriction, and one without
// restrictions.
func restrictedFleet(now time.Time) *fleet.Fleet {
	f := fleet.New(zerolog.Nop())
	for i, id := range []string{"any", "cold", "drains", "answers", "limited", "backs-off", "told", "slow"} {
		f.Update(&fleet.Endpoint{ID: id, Service: "s", Addr: fmt.Sprintf("10.0.0.%d:1", i+1), Domain: "north", Draining: id == "drains"}, now)
	}
	for i, id := range []string{"unmoved", "moved"} {
		f.Update(&fleet.Endpoint{ID: id, Service: "s2", Addr: fmt.Sprintf("10.0.1.%d:1", i+1), Domain: "north", Release: fmt.Sprint("v", i+1)}, now)
	}
	f.Member("cold").MarkCold(now.Add(time.Minute))
	f.MarkDraining(f.Member("answers"), now.Add(-2*time.Second))
	f.Member("limited").Signals.SetLimit(2.8, now.Add(-time.Second))
	f.Member("backs-off").Signals.RecordBackoff(3*time.Second, now.Add(-time.Second))
	f.Member("told").Signals.RecordRelayedLimit(fleet.RateLimit{PerSecond: 1, InForce: true, At: now})
	return f
}

// slowFactor is what a node observes of the pace of endpoints.
func slowFactor(m *fleet.Member) float64 {
	if m.ID == "slow" {
		return 2.5
	}
	return 0
}

// TestEndpoints checks that the restrictions of endpoints are shown with their source and age.
func TestEndpoints(t *testing.T) {
	now := time.Now()
	served := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/endpoints" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(restrictedFleet(now).Restricted(now, slowFactor)) // a write error shows as an incomplete list in the command
	}))
	defer served.Close()
	run := func(args ...string) (int, string) {
		var out, errs bytes.Buffer
		code := Run(t.Context(), append([]string{"cherryctl", "endpoints"}, args...), Streams{In: strings.NewReader(""), Out: &out, Err: &errs})
		return code, out.String() + errs.String()
	}
	addr := strings.TrimPrefix(served.URL, "http://")
	code, out := run("--ready", addr)
	must.Eq(t, 0, code, must.Sprint(out))
	var rows []string
	for line := range strings.Lines(out) {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	test.Eq(t, []string{
		"ENDPOINT SERVICE DOMAIN RELEASE LIMIT BACKOFF DRAINING COLD SLOW",
		"answers s north - - - answer 2s ago false -",
		"backs-off s north - - 2s (asked 1s ago) - false -",
		"cold s north - - - - true -",
		"drains s north - - - entry false -",
		"limited s north - 2.8/s (answer 1s ago) - - false -",
		"moved s2 north v2 - - - false -",
		"slow s north - - - - false 2.5x",
		"told s north - 1/s (told 0s ago) - - false -",
		"unmoved s2 north v1 - - - false -",
	}, rows)
	code, out = run("--ready", addr, "-o", "json")
	must.Eq(t, 0, code, must.Sprint(out))
	test.Eq(t, 2.8, gjson.Get(out, `#(endpoint=="limited").limit.per_s`).Float())
	code, out = run("--ready", "nowhere")
	test.Eq(t, 2, code, test.Sprint(out))
	code, out = run("--ready", tcptest.RefusingAddr(t))
	test.NotEq(t, 0, code)
	test.StrContains(t, out, "4001")
}
