package telemetry

import (
	"bytes"
	"flag"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/coord/member"
	"github.com/cherryward/cherryward/internal/entry"
	"github.com/cherryward/cherryward/internal/peers"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/rollout"
	"github.com/cherryward/cherryward/internal/runs"
)

var update = flag.Bool("update", false, "regenerate docs/METRICS.md")

// promptMetrics returns the metrics of a successful prompt of 80 tokens, 60 of them cached.
func promptMetrics(account string) entry.RequestMetrics {
	m := entry.RequestMetrics{Account: account, Class: runs.ClassBatch, Total: 3 * time.Second, IsPrompt: true}
	m.TokenGaps = []time.Duration{30 * time.Millisecond, 40 * time.Millisecond}
	m.Summary = runs.Summary{
		Start:         runs.Start{PromptTokens: 80, CachedTokens: 60},
		OutputTokens:  7,
		Queued:        600 * time.Millisecond,
		FirstToken:    150 * time.Millisecond,
		ImportedBytes: 4096,
	}
	return m
}

// scrape returns the served lines of this package's metrics.
func scrape(m *Metrics) []string {
	rec := httptest.NewRecorder()
	m.ServeHTTP(rec, nil)
	lines := strings.Split(rec.Body.String(), "\n")
	return slices.DeleteFunc(lines, func(l string) bool { return !strings.HasPrefix(l, "cherryward_") })
}

// newWatchedMetrics returns metrics with all Watch methods called.
func newWatchedMetrics(owned func() []*pb.EndpointStatus) *Metrics {
	m := New()
	traffic := &peers.Traffic{}
	traffic.Sent.Store(11)
	traffic.Received.Store(12)
	traffic.Calls.Store(13)
	m.WatchPeers(traffic)
	m.WatchMembers(func() member.View {
		return member.View{Members: []member.Member{{State: member.Alive}, {State: member.Alive}, {State: member.Dead}}}
	})
	m.WatchConfig(func() changelog.FollowerStatus {
		return changelog.FollowerStatus{Ready: true, Applied: 21, NewestKnown: 22, LogAge: 23 * time.Second, ContactAge: 1500 * time.Millisecond}
	})
	m.WatchOwned(owned)
	counts := &rollout.Counters{}
	counts.Loads.Store(31)
	m.WatchRollout(counts, func() int64 { return 32 })
	return m
}

func TestServedValues(t *testing.T) {
	a, b := &pb.EndpointStatus{Name: "a", Running: 2}, &pb.EndpointStatus{Name: "b", Running: 3, Waiting: 4}
	owned := []*pb.EndpointStatus{a, b}
	m := newWatchedMetrics(func() []*pb.EndpointStatus { return owned })
	m.Request(promptMetrics("mill"))
	m.Request(entry.RequestMetrics{Account: "mill", Code: result.RequestRate})
	m.Request(entry.RequestMetrics{Code: result.MissingKey})
	m.Request(entry.RequestMetrics{Code: 1999})
	m.AddExportedBytes(512)
	m.CountRunWithoutGrant()
	_ = scrape(m)
	owned = []*pb.EndpointStatus{b, {Name: "c"}} // a lost, c gained
	lines := scrape(m)
	mill := `{account="mill",class="batch"}`
	le := func(bound string) string { return `_bucket{account="mill",class="batch",le="` + bound + `"}` }
	for _, want := range []string{
		`cherryward_requests_total{code="0"} 1`,
		`cherryward_requests_total{code="2004"} 1`,
		`cherryward_requests_total{code="2001"} 1`,
		`cherryward_requests_total{code="9001"} 1`,
		`cherryward_requests_total{code="3001"} 0`,
		"cherryward_prompt_tokens_total" + mill + " 80",
		"cherryward_cached_tokens_total" + mill + " 60",
		"cherryward_output_tokens_total" + mill + " 7",
		"cherryward_imported_bytes_total" + mill + " 4096",
		"cherryward_first_token_seconds" + le("0.1") + " 0",
		"cherryward_first_token_seconds" + le("0.2") + " 1",
		"cherryward_queue_seconds" + le("0.5") + " 0",
		"cherryward_queue_seconds" + le("1") + " 1",
		"cherryward_recomputed_share" + le("0.1") + " 0",
		"cherryward_recomputed_share" + le("0.25") + " 1",
		"cherryward_token_gap_seconds_count" + mill + " 2",
		"cherryward_request_seconds_sum" + mill + " 3",
		"cherryward_exported_bytes_total 512",
		"cherryward_runs_without_grant_total 1",
		`cherryward_members{state="alive"} 2`,
		`cherryward_members{state="suspect"} 0`,
		`cherryward_members{state="dead"} 1`,
		"cherryward_peer_sent_bytes_total 11",
		"cherryward_peer_received_bytes_total 12",
		"cherryward_peer_calls_total 13",
		"cherryward_config_applied_offset 21",
		"cherryward_config_known_offset 22",
		"cherryward_config_log_age_seconds 23",
		"cherryward_config_silence_seconds 1.5",
		"cherryward_config_ready 1",
		"cherryward_owned_endpoints 2",
		"cherryward_granted_runs 3",
		"cherryward_waiting_runs 4",
	} {
		must.SliceContains(t, lines, want)
	}
	// The first read gained two endpoints; the second lost one and gained one.
	must.SliceContains(t, scrape(m), "cherryward_owner_changes_total 4")
}

func TestCatalogueMatchesServedMetrics(t *testing.T) {
	m := newWatchedMetrics(func() []*pb.EndpointStatus { return nil })
	m.Request(promptMetrics("mill"))
	served := map[string]bool{}
	for _, line := range scrape(m) {
		name, _, _ := strings.Cut(line, " ")
		name, _, _ = strings.Cut(name, "{")
		served[metricFamily(name)] = true
	}
	described := map[string]bool{}
	for _, d := range catalogue {
		described[d.name] = true
	}
	must.Eq(t, described, served)
	must.MapLen(t, len(catalogue), described)
}

// metricFamily returns a metric's name without the suffixes of a histogram's lines.
func metricFamily(name string) string {
	for _, suffix := range []string{"_bucket", "_sum", "_count"} {
		if base, ok := strings.CutSuffix(name, suffix); ok {
			return base
		}
	}
	return name
}

func TestMarkdownCurrent(t *testing.T) {
	const page = "../../docs/METRICS.md"
	var want bytes.Buffer
	must.NoError(t, writeMarkdown(&want))
	if *update {
		must.NoError(t, os.WriteFile(page, want.Bytes(), 0o644))
	}
	got, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, want.String(), string(got), must.Sprint("run: go test ./internal/telemetry -update"))
}
