package experiment

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"github.com/cherryward/cherryward/internal/fleetmodel"
)

// Counts counts callers by how their request ended.
type Counts struct {
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Aborted int `json:"broken"`  // by a crash after the first event
	Retried int `json:"retried"` // retried after a refusal; also counted in one of the other fields
}

// Total returns the number of callers.
func (c Counts) Total() int { return c.InTime + c.Late + c.Refused + c.Aborted }

// ClassRun is the result of one class in a run.
type ClassRun struct {
	Class string `json:"class"`
	Counts
	// FirstEventMs holds the percentiles 0, 5, 10 to 100 of the time from a caller's first try to
	// its first event, over served callers; empty if none was served.
	FirstEventMs []float64 `json:"first_event_ms,omitempty"`
	// Sizes holds the counts by size, the smallest tenth of the sessions first.
	Sizes []Counts `json:"sizes"`
}

// Run is the result of one policy with one seed.
type Run struct {
	Policy  string     `json:"policy"`
	Seed    uint64     `json:"seed"`
	Classes []ClassRun `json:"classes"`
	// RecomputedTokens counts tokens of shared parts that were prefilled although an engine had
	// prefilled them before.
	RecomputedTokens int `json:"read_again_tokens"`
	Preemptions      int `json:"preemptions"`
	// FailedOver counts requests that were sent to another engine after a crash.
	FailedOver int `json:"resent"`
	// Refusals counts all refusals, including first ones, by second of virtual time.
	Refusals []int `json:"refusals_by_second"`
}

// RunAll runs each policy with each seed, at most parallel at a time, and returns the results in the
// order of the file. done, if not nil, is called after each run with the number of completed runs
// and the total, never concurrently.
func (f *File) RunAll(ctx context.Context, parallel int, done func(n, of int)) ([]Run, error) {
	runs := make([]Run, len(f.Policies)*len(f.Seeds))
	var mu sync.Mutex
	finished := 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallel)
	for i := range runs {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			runs[i] = f.simulate(&f.Policies[i/len(f.Seeds)], f.Seeds[i%len(f.Seeds)])
			mu.Lock()
			defer mu.Unlock()
			finished++
			if done != nil {
				done(finished, len(runs))
			}
			return nil
		})
	}
	err := group.Wait()
	return runs, err
}

func (f *File) simulate(p *Policy, seed uint64) Run {
	r := fleetmodel.New(f.config(p, seed)).Simulate()
	run := Run{Policy: p.Name, Seed: seed, RecomputedTokens: r.RecomputedTokens, Preemptions: r.Preempted, FailedOver: r.FailedOver, Refusals: r.Refusals}
	for _, k := range f.Load {
		run.Classes = append(run.Classes, classRun(r, k.Name))
	}
	return run
}

func classRun(r *fleetmodel.Result, class string) ClassRun {
	c := ClassRun{Class: class, Counts: counts(r.ForClass(class)), FirstEventMs: percentiles(r.FirstEvents[class])}
	if sizes := r.Classes[class]; sizes != nil {
		for _, o := range sizes {
			c.Sizes = append(c.Sizes, counts(o))
		}
	}
	return c
}

func counts(o fleetmodel.Outcome) Counts {
	return Counts{InTime: o.InTime, Late: o.Late, Refused: o.Refused, Aborted: o.Aborted, Retried: o.Retries}
}

const (
	percentileStep = 5
	maxPercent     = 100
)

func percentiles(times []time.Duration) []float64 {
	if len(times) == 0 {
		return nil
	}
	sorted := make([]float64, len(times))
	for i, t := range times {
		sorted[i] = float64(t.Microseconds()) / 1000
	}
	slices.Sort(sorted)
	var at []float64
	for p := 0; p <= maxPercent; p += percentileStep {
		at = append(at, stat.Quantile(float64(p)/maxPercent, stat.Empirical, sorted, nil))
	}
	return at
}

// WriteRuns writes runs as JSON lines.
func WriteRuns(w io.Writer, runs []Run) error {
	enc := json.NewEncoder(w)
	for i := range runs {
		if err := enc.Encode(&runs[i]); err != nil {
			return err
		}
	}
	return nil
}
