package gatewaydemo_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/standin/modelserver"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	limitNodes   = 6
	limitWindow  = 4 * time.Second
	limitPlayed  = 6 * time.Second
	limitGap     = 30 * time.Millisecond // between two requests of a node's caller
	limitTold    = 500 * time.Millisecond
	limitPerS    = 2.8
	limitAllowed = 22 // 1.5 times 4 s of the limit, and 5
)

// askOn sends prompts to a node until the time is over, and returns how many were answered.
func askOn(t *testing.T, m *gatewaydemo.Member, name string, until time.Time) (answered int) {
	for i := 0; time.Now().Before(until); i++ {
		status, _ := ask(t, m, site.PathQuery, key, fmt.Sprintf("%s-%d", name, i), fmt.Sprint("5e55", i%7))
		if status == http.StatusOK {
			answered++
		}
		time.Sleep(limitGap)
	}
	return answered
}

// told returns the runs of nodes that had an answer of the server for long enough to heed its word.
func told(runs []modelserver.Run) (times []time.Time) {
	first := make(map[string]time.Time)
	for _, r := range runs {
		node, _, _ := strings.Cut(r.Request, "-")
		since, known := first[node]
		switch {
		case !known:
			first[node] = r.At
		case r.At.Sub(since) > limitTold:
			times = append(times, r.At)
		}
	}
	return times
}

// most returns the greatest number of times that lie within a window.
func most(times []time.Time, window time.Duration) (count int) {
	for i, from := range times {
		in := 0
		for _, at := range times[i:] {
			if at.Sub(from) <= window {
				in++
			}
		}
		count = max(count, in)
	}
	return count
}

// TestEndpointGetsNoMoreThanItsLimit has all nodes together keep to the limit that a server names, while
// the others serve what is left.
func TestEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	s, members := start(t, limitNodes)
	until(t, "the nodes know one another", func() bool {
		for _, m := range members {
			if m.Nodes() != limitNodes {
				return false
			}
		}
		return true
	})
	limited := s.Models[0]
	limited.SetFaults(modelserver.Faults{Limit: fmt.Sprint(limitPerS)})
	end := time.Now().Add(limitPlayed)
	var wg sync.WaitGroup
	answered := make([]int, limitNodes)
	for i, m := range members {
		wg.Go(func() { answered[i] = askOn(t, m, fmt.Sprint("n", i), end) })
	}
	wg.Wait()
	runs := limited.Runs()
	must.Positive(t, len(told(runs)))
	test.LessEq(t, limitAllowed, most(told(runs), limitWindow))
	for i := range answered {
		test.Positive(t, answered[i])
	}
	limited.SetFaults(modelserver.Faults{})
	before := len(limited.Runs())
	turn := 0
	until(t, "all nodes use the server again", func() bool {
		turn++ // each prompt is of a session that no server keeps anything of
		for i, m := range members {
			served(t, s, m, site.PathQuery, fmt.Sprintf("n%d-again-%d", i, turn), fmt.Sprint("ae", turn*limitNodes+i))
		}
		senders := make(map[string]bool)
		for _, r := range limited.Runs()[before:] {
			node, _, _ := strings.Cut(r.Request, "-")
			senders[node] = true
		}
		return len(senders) == limitNodes
	})
}
