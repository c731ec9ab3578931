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
	restAsked   = 2 * time.Second
	restHeeded  = 500 * time.Millisecond // after the refusal
	restAllowed = 2                      // requests of a node meanwhile
)

// restless returns the most requests of one node that reached a server within a rest that it had asked that
// node for.
func restless(arrivals []modelserver.Arrival) (most int) {
	byNode := make(map[string][]time.Time)
	for _, r := range arrivals {
		node, _, _ := strings.Cut(r.Request, "-")
		byNode[node] = append(byNode[node], r.At)
	}
	for _, times := range byNode {
		for i, asked := range times {
			count := 0
			for _, at := range times[i:] {
				if after := at.Sub(asked); after > restHeeded && after < restAsked {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

// TestEndpointThatAskedForRestIsSpared has two of three servers refuse requests and ask for rest: no node sends them
// more than two requests meanwhile, and the third one serves.
func TestEndpointThatAskedForRestIsSpared(t *testing.T) {
	s, members := start(t, 2)
	resting := s.Models[:2]
	for _, m := range resting {
		m.SetFaults(modelserver.Faults{Shed: true, Rest: fmt.Sprint(restAsked.Seconds())})
	}
	end := time.Now().Add(2 * restAsked)
	var wg sync.WaitGroup
	answered := make([]int, len(members))
	for i, m := range members {
		wg.Go(func() { answered[i] = askOn(t, m, fmt.Sprint("n", i), end) })
	}
	wg.Wait()
	for i, m := range resting {
		must.Positive(t, len(m.Arrivals()), must.Sprint(i))
		test.LessEq(t, restAllowed, restless(m.Arrivals()), test.Sprint(i))
	}
	for i := range answered {
		test.Positive(t, answered[i])
	}
}
