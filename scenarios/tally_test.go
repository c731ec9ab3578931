package scenarios

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cherryward/cherryward/internal/result"
)

// tally summarizes the requests of a load.
type tally struct {
	streaming, ended, complete, failed, cut int
	promptTokens, cached                    int
	slowest                                 time.Duration
	codes                                   map[result.Code]int
}

func (l *loadRun) tally() tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := tally{codes: make(map[result.Code]int)}
	for _, o := range l.items {
		t.add(o)
	}
	return t
}

func (t *tally) add(o *outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case <-o.done:
	default:
		if o.text != "" {
			t.streaming++
		}
		return
	}
	t.ended++
	switch {
	case o.complete:
		t.complete++
	case o.code != 0:
		t.failed++
		t.codes[o.code]++
	default:
		t.cut++
	}
	t.promptTokens, t.cached = t.promptTokens+o.promptTokens, t.cached+o.cached
	t.slowest = max(t.slowest, o.firstTokenTime)
}

// loadValue returns a value of the summary of a load.
func (w *world) loadValue(l *loadRun, field string) (string, error) {
	t := l.tally()
	counts := map[string]int{"streaming": t.streaming, "ended": t.ended, "whole": t.complete, "failed": t.failed, "cut": t.cut}
	if n, ok := counts[field]; ok {
		return strconv.Itoa(n), nil
	}
	switch field {
	case "codes":
		return fmt.Sprint(t.codes), nil
	case "cached_share":
		return ratio(t.cached, t.promptTokens), nil
	case "starts_each":
		return ratio(w.runRequestsOf(l), t.ended), nil
	case "slowest_first_token":
		return strconv.FormatFloat(t.slowest.Seconds(), 'f', 3, 64), nil
	}
	return "", fmt.Errorf("unknown field %q of a load", field)
}

func ratio(a, b int) string {
	return strconv.FormatFloat(float64(a)/float64(max(b, 1)), 'f', 3, 64)
}

// runRequestsOf returns the number of run requests that engines received for a load.
func (w *world) runRequestsOf(l *loadRun) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	prompts := make(map[string]bool)
	for _, o := range l.items {
		prompts[o.prompt] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, s := range w.history.Starts {
		if prompts[s.Prompt] {
			count++
		}
	}
	return count
}
