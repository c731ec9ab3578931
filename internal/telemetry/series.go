package telemetry

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cherryward/cherryward/internal/entry"
	"github.com/cherryward/cherryward/internal/runs"
)

// Upper bounds of the histograms' buckets. They are fixed, so that the series of all
// nodes can be summed.
var (
	secondsBounds = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300, 1800}
	gapBounds     = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}
	shareBounds   = []float64{0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.99, 1}
)

// classNames holds the class labels, which are the values of the priority header.
var classNames = [runs.Classes]string{
	runs.ClassInteractive: "interactive",
	runs.ClassStandard:    "standard",
	runs.ClassBatch:       "batch",
}

// series holds the metrics of one account label and class.
type series struct {
	names []string // registered names, with labels

	queue, firstToken, tokenGap, total, recomputed *metrics.PrometheusHistogram
	prompt, cached, output, imported               *metrics.Counter
}

func newSeries(set *metrics.Set, account string, class runs.Class) *series {
	s := &series{}
	labels := `{account=` + strconv.Quote(account) + `,class="` + classNames[class] + `"}`
	histogram := func(name string, bounds []float64) *metrics.PrometheusHistogram {
		s.names = append(s.names, name+labels)
		return set.NewPrometheusHistogramExt(name+labels, bounds)
	}
	counter := func(name string) *metrics.Counter {
		s.names = append(s.names, name+labels)
		return set.NewCounter(name + labels)
	}
	s.queue = histogram(nameQueue, secondsBounds)
	s.firstToken = histogram(nameFirstToken, secondsBounds)
	s.tokenGap = histogram(nameTokenGap, gapBounds)
	s.total = histogram(nameRequestSeconds, secondsBounds)
	s.recomputed = histogram(nameRecomputed, shareBounds)
	s.prompt = counter(namePromptTokens)
	s.cached = counter(nameCachedTokens)
	s.output = counter(nameOutputTokens)
	s.imported = counter(nameImported)
	return s
}

func (s *series) unregister(set *metrics.Set) {
	for _, name := range s.names {
		set.UnregisterMetric(name)
	}
}

func (s *series) observe(r *entry.RequestMetrics) {
	s.total.Update(r.Total.Seconds())
	for _, gap := range r.TokenGaps {
		s.tokenGap.Update(gap.Seconds())
	}
	sum := &r.Summary
	s.imported.AddInt64(sum.ImportedBytes)
	if sum.Queued > 0 {
		s.queue.Update(sum.Queued.Seconds())
	}
	if sum.FirstToken > 0 {
		s.firstToken.Update(sum.FirstToken.Seconds())
	}
	if sum.PromptTokens == 0 {
		return // no engine started the run
	}
	s.prompt.Add(sum.PromptTokens)
	s.cached.Add(sum.CachedTokens)
	s.output.Add(sum.OutputTokens)
	s.recomputed.Update(float64(sum.PromptTokens-sum.CachedTokens) / float64(sum.PromptTokens))
}
