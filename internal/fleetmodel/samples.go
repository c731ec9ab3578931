package fleetmodel

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	// sampleInterval is the time between two samples of the engines' loads.
	sampleInterval = 2 * time.Second
	// idleShare is the share of engines without a prompt to prefill from which a refusal of the most
	// urgent rank counts in Result.IdleRefusals.
	idleShare = 0.1
)

// Sample is the load of the engines that are up at one point in time.
type Sample struct {
	At time.Duration
	// MeanRequests, TenthRequests and MaxRequests are the mean, the tenth percentile and the largest
	// number of requests at an engine, running or queued there.
	MeanRequests, TenthRequests, MaxRequests float64
	// Full is the number of engines that run or queue at least as many requests as they have slots.
	Full int
	// MeanPending and NinthPending are the mean and the ninth decile of the prompt tokens that an
	// engine has yet to prefill.
	MeanPending, NinthPending float64
}

// scheduleSamples schedules the samples of the period in which callers arrive.
func (w *World) scheduleSamples() {
	for at := sampleInterval; at <= w.Length; at += sampleInterval {
		w.after(at, func() { w.Result.Samples = append(w.Result.Samples, w.sample()) })
	}
}

// sample returns the present loads.
func (w *World) sample() Sample {
	s := Sample{At: w.elapsed()}
	var requests, pending []float64
	for _, e := range w.engines {
		if e.down {
			continue
		}
		count := len(e.running) + len(e.waiting)
		if count >= e.Slots {
			s.Full++
		}
		requests, pending = append(requests, float64(count)), append(pending, float64(e.pendingPrefill()))
	}
	if len(requests) == 0 {
		return s
	}
	slices.Sort(requests)
	slices.Sort(pending)
	s.MeanRequests, s.MeanPending = stat.Mean(requests, nil), stat.Mean(pending, nil)
	s.TenthRequests, s.MaxRequests = stat.Quantile(0.1, stat.Empirical, requests, nil), requests[len(requests)-1]
	s.NinthPending = stat.Quantile(0.9, stat.Empirical, pending, nil)
	return s
}

// pendingPrefill returns the prompt tokens that the engine has yet to prefill.
func (e *engine) pendingPrefill() int {
	sum := 0
	for _, r := range e.running {
		sum += r.pendingPrompt
	}
	for _, r := range e.waiting {
		sum += r.call.placement.PrefillTokens
	}
	return sum
}

// idleShare returns the share of the engines that are up and have no prompt to prefill.
func (w *World) idleShare() float64 {
	up, idle := 0, 0
	for _, e := range w.engines {
		if e.down {
			continue
		}
		up++
		if e.pendingPrefill() == 0 {
			idle++
		}
	}
	return float64(idle) / float64(max(up, 1))
}
