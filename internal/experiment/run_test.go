package experiment

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/settings"
)

// experimentFiles returns the files that are described in docs/operating/experiments.md.
func experimentFiles(t *testing.T) []string {
	files, err := filepath.Glob("../../docs/experiments/*.json")
	must.NoError(t, err)
	must.SliceLen(t, 5, files)
	return files
}

// TestExperimentFiles simulates each file for a few seconds. It verifies that all policies have the
// same callers, that each caller is counted, also by size, and that the results can be written as
// tables and as a plot.
func TestExperimentFiles(t *testing.T) {
	for _, path := range experimentFiles(t) {
		f, err := Load(path)
		must.NoError(t, err)
		must.Eq(t, f.Name+".json", filepath.Base(path))
		f.Seeds, f.Length = f.Seeds[:2], settings.Duration(2*time.Second)
		runs, err := f.RunAll(t.Context(), 2, nil)
		must.NoError(t, err)
		must.SliceLen(t, 2*len(f.Policies), runs)
		for i, run := range runs {
			must.Eq(t, f.Policies[i/2].Name, run.Policy)
			must.Eq(t, f.Seeds[i%2], run.Seed)
			checkRun(t, &run, &runs[i%2])
		}
		var out bytes.Buffer
		must.NoError(t, f.WriteSummary(&out, runs))
		must.NoError(t, f.WriteComparison(&out, runs, f.Policies[0].Name, f.Policies[1].Name))
		must.StrNotContains(t, out.String(), "NaN")
		must.NoError(t, f.WritePlot(&out, runs))
	}
}

func checkRun(t *testing.T, run, first *Run) {
	t.Helper()
	for i, class := range run.Classes {
		must.Eq(t, first.Classes[i].Total(), class.Total())
		var sum Counts
		for _, c := range class.Sizes {
			sum.InTime += c.InTime
			sum.Late += c.Late
			sum.Refused += c.Refused
			sum.Aborted += c.Aborted
			sum.Retried += c.Retried
		}
		must.Eq(t, class.Counts, sum)
		must.Positive(t, sum.InTime)
	}
}

// TestResultsIndependentOfConcurrency verifies that results do not depend on the number of
// concurrent runs.
func TestResultsIndependentOfConcurrency(t *testing.T) {
	f, err := Parse([]byte(fullExperiment))
	must.NoError(t, err)
	var texts [2]bytes.Buffer
	for i, parallel := range []int{1, 4} {
		completed := 0
		runs, err := f.RunAll(t.Context(), parallel, func(n, of int) {
			completed++
			must.Eq(t, completed, n)
			must.Eq(t, 6, of)
		})
		must.NoError(t, err)
		must.Eq(t, 6, completed)
		must.NoError(t, WriteRuns(&texts[i], runs))
	}
	must.Eq(t, 6, strings.Count(texts[0].String(), "\n"))
	must.Eq(t, texts[0].String(), texts[1].String())
}

func TestRunCanceled(t *testing.T) {
	f, err := Parse([]byte(fullExperiment))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = f.RunAll(ctx, 1, nil)
	must.ErrorIs(t, err, context.Canceled)
}

// TestPlot verifies that the plot is valid XML and names all plotted data, even if nothing was
// served.
func TestPlot(t *testing.T) {
	f, err := Parse([]byte(fullExperiment))
	must.NoError(t, err)
	runs, err := f.RunAll(t.Context(), 1, nil)
	must.NoError(t, err)
	for i := range runs[:2] {
		runs[i].Classes[0].FirstEventMs = nil
	}
	var svg bytes.Buffer
	must.NoError(t, f.WritePlot(&svg, runs))
	for _, text := range []string{"c: time to first event", "refusals", ">p<", ">q<", ">r<"} {
		must.StrContains(t, svg.String(), text)
	}
	for dec := xml.NewDecoder(&svg); ; {
		if _, err := dec.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}
