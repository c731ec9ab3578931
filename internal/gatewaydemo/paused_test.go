package gatewaydemo_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/standin/modelserver"
)

const (
	pauseRequested     = 2 * time.Second
	pauseDelay         = 500 * time.Millisecond // time after a refusal in which the node may still send requests
	allowedDuringPause = 2                      // maximum number of requests of a node during the pause
)

// maxRequestsInPause returns the maximum number of requests that a server received from one node during
// a pause that it had requested from that node.
func maxRequestsInPause(arrivals []modelserver.Arrival) (maximum int) {
	byNode := make(map[string][]time.Time)
	for _, r := range arrivals {
		node, _, _ := strings.Cut(r.Request, "-")
		byNode[node] = append(byNode[node], r.At)
	}
	for _, times := range byNode {
		for i, refused := range times {
			count := 0
			for _, at := range times[i:] {
				if after := at.Sub(refused); after > pauseDelay && after < pauseRequested {
					count++
				}
			}
			maximum = max(maximum, count)
		}
	}
	return maximum
}

// TestPausedServer verifies that no node sends more than two requests to a server during a pause
// that the server requested with a refusal, and that the third server, which requests no pause,
// handles the prompts.
func TestPausedServer(t *testing.T) {
	s, members := startSite(t, 2)
	paused := s.Models[:2]
	for _, m := range paused {
		m.SetFaults(modelserver.Faults{RejectRequests: true, RetryAfter: fmt.Sprint(pauseRequested.Seconds())})
	}
	end := time.Now().Add(2 * pauseRequested)
	var wg sync.WaitGroup
	answered := make([]int, len(members))
	for i, m := range members {
		wg.Go(func() { answered[i] = sendUntil(t, m, fmt.Sprint("n", i), end) })
	}
	wg.Wait()
	for i, m := range paused {
		must.Positive(t, len(m.Arrivals()), must.Sprint(i))
		test.LessEq(t, allowedDuringPause, maxRequestsInPause(m.Arrivals()), test.Sprint(i))
	}
	for i := range answered {
		test.Positive(t, answered[i])
	}
}
