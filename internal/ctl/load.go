package ctl

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"gonum.org/v1/gonum/stat"
)

// Limits of the load generator, which is only for tests on the loopback interface.
const (
	maxLoadRequests    = 1_000_000
	maxLoadConcurrency = 10_000
	maxLoadDuration    = 10 * time.Minute
	// maxEventBytes bounds one line of a stream.
	maxEventBytes = 1 << 20
	// maxErrorBytes bounds the body of an error response.
	maxErrorBytes = 64 << 10
)

// Outcomes that are not result codes.
const (
	outcomeOK         = "ok"
	outcomeTruncated  = "truncated"
	outcomeConnection = "connection_failed"
	outcomeDeadline   = "duration_over"
)

// loadPlan describes the requests to send.
type loadPlan struct {
	url, key, model       string
	requests, concurrency int
	duration              time.Duration
}

func (p loadPlan) check() error {
	u, err := url.Parse(p.url)
	if err != nil {
		return usagef("--url: %w", err)
	}
	addr, err := netip.ParseAddrPort(u.Host)
	if err != nil || !addr.Addr().IsLoopback() || u.Scheme != "http" {
		return usagef("--url: %q: must be http://IP:PORT with a loopback address", p.url)
	}
	switch {
	case p.requests < 1 || p.requests > maxLoadRequests:
		return usagef("--requests: must be 1 to %d", maxLoadRequests)
	case p.concurrency < 1 || p.concurrency > maxLoadConcurrency:
		return usagef("--concurrency: must be 1 to %d", maxLoadConcurrency)
	case p.duration <= 0 || p.duration > maxLoadDuration:
		return usagef("--duration: must be more than 0 and at most %v", maxLoadDuration)
	}
	return nil
}

// loadReport counts the outcomes of the requests.
type loadReport struct {
	mu       sync.Mutex
	outcomes map[string]int
	// firstToken has the time to the first token of each complete answer, in seconds.
	firstToken []float64
	elapsed    time.Duration
}

func (r *loadReport) add(outcome string, firstToken time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
	if outcome == outcomeOK {
		r.firstToken = append(r.firstToken, firstToken.Seconds())
	}
}

// runLoad sends the plan's requests and returns their outcomes.
func runLoad(ctx context.Context, p loadPlan) *loadReport {
	ctx, cancel := context.WithTimeout(ctx, p.duration)
	defer cancel()
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: p.concurrency}}
	defer httpClient.CloseIdleConnections()
	report := &loadReport{outcomes: make(map[string]int)}
	start := time.Now()
	var next atomic.Int64
	var workers sync.WaitGroup
	for range min(p.concurrency, p.requests) {
		workers.Go(func() {
			for ctx.Err() == nil {
				n := next.Add(1)
				if n > int64(p.requests) {
					return
				}
				report.add(p.send(ctx, httpClient, n))
			}
		})
	}
	workers.Wait()
	report.elapsed = time.Since(start)
	return report
}

// send sends one streamed request and reads its answer to the end.
func (p loadPlan) send(ctx context.Context, httpClient *http.Client, n int64) (outcome string, firstToken time.Duration) {
	body, err := p.body(n)
	if err != nil {
		return outcomeConnection, 0
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimRight(p.url, "/")+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return outcomeConnection, 0
	}
	req.Header.Set("Authorization", "Bearer "+p.key)
	req.Header.Set("Content-Type", "application/json")
	start := time.Now()
	res, err := httpClient.Do(req)
	if err != nil {
		return outcomeOf(ctx, outcomeConnection), 0
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errorOutcome(res), 0
	}
	outcome, first := readStream(res.Body)
	if outcome == outcomeTruncated {
		outcome = outcomeOf(ctx, outcome)
	}
	return outcome, first.Sub(start)
}

func (p loadPlan) body(n int64) (string, error) {
	body, err := sjson.Set(`{"stream":true,"messages":[{"role":"user"}]}`, "model", p.model)
	if err != nil {
		return "", err
	}
	return sjson.Set(body, "messages.0.content", fmt.Sprintf("load request %d", n))
}

// outcomeOf returns outcomeDeadline for a request that failed because the load test's
// duration ended, else the given outcome.
func outcomeOf(ctx context.Context, outcome string) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcomeDeadline
	}
	return outcome
}

// errorOutcome returns the result code in an error response, or its HTTP status.
func errorOutcome(res *http.Response) string {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if code := gjson.GetBytes(body, "error.code").String(); err == nil && code != "" {
		return code
	}
	return fmt.Sprintf("http_%d", res.StatusCode)
}

// readStream reads server-sent events to the end and returns the outcome and the arrival
// time of the first token. The outcome is ok only if the stream has its [DONE] event.
func readStream(r io.Reader) (outcome string, first time.Time) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data:")
		data = strings.TrimSpace(data)
		switch {
		case !isData:
		case data == "[DONE]":
			return outcomeOK, first
		case gjson.Get(data, "error.code").Exists():
			return gjson.Get(data, "error.code").String(), first
		case first.IsZero() && gjson.Get(data, "choices.0.delta.content").String() != "":
			first = time.Now()
		}
	}
	return outcomeTruncated, first
}

// write prints the report.
func (r *loadReport) write(w io.Writer) error {
	total := 0
	rows := make([]string, 0, len(r.outcomes))
	for _, outcome := range slices.Sorted(maps.Keys(r.outcomes)) {
		total += r.outcomes[outcome]
		rows = append(rows, fmt.Sprintf("%s\t%d", outcome, r.outcomes[outcome]))
	}
	if err := writeTable(w, "OUTCOME\tREQUESTS", rows); err != nil {
		return err
	}
	fmt.Fprintf(w, "\n%d requests in %.2f s\n", total, r.elapsed.Seconds())
	if len(r.firstToken) == 0 {
		return errors.New("no request received a complete answer")
	}
	slices.Sort(r.firstToken)
	quantile := func(p float64) float64 { return 1000 * stat.Quantile(p, stat.Empirical, r.firstToken, nil) }
	_, err := fmt.Fprintf(w, "time to first token: p50 %.2f ms, p95 %.2f ms, p99 %.2f ms\n",
		quantile(0.50), quantile(0.95), quantile(0.99))
	return err
}
