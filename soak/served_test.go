package soak

import (
	"fmt"
	"sort"
	"time"
)

const (
	// servedSpan is the length of a calm span of which the share served is checked, one beginning in each
	// servedStep.
	servedSpan = 10 * time.Second
	servedStep = time.Second
	// leastServed is the share that is too little: less than one in leastServed of the requests is served.
	leastServed = 4
	// minRequests is the least number of requests in a span that is checked.
	minRequests = fewClients
)

// outcome is the outcome of a request that its client didn't give up.
type outcome struct {
	at     time.Time // sent
	served bool
	status int // of the response; 0 if none was received
	node   int
}

// record records the outcome of a request, unless the run has ended meanwhile.
func (c *client) record(sent *sentRequest, served bool, status int) {
	if c.ending != nil && c.ending() {
		return
	}
	c.observed.mu.Lock()
	defer c.observed.mu.Unlock()
	c.observed.outcomes = append(c.observed.outcomes, outcome{sent.at, served, status, sent.node})
}

// calmStretches returns the stretches in which no fault acted, nor within the stable window before, from the first
// of the sorted outcomes to the last.
func (w *world) calmStretches(outcomes []outcome) []span {
	if len(outcomes) == 0 {
		return nil
	}
	blocked := w.acting.extended(w.bounds.StableWindow)
	blocked = append(blocked, w.storeDisturbances.extended(w.bounds.StableWindow)...)
	for _, p := range w.nodes {
		blocked = append(blocked, p.disturbances.extended(w.bounds.StableWindow)...)
	}
	return gaps(blocked, outcomes[0].at, outcomes[len(outcomes)-1].at)
}

// servedWithin returns the numbers of requests that were sent in a span, and of those of them that were served.
// The outcomes are sorted.
func servedWithin(outcomes []outcome, s span) (served, sent int) {
	first := sort.Search(len(outcomes), func(i int) bool { return !outcomes[i].at.Before(s.from) })
	for _, o := range outcomes[first:] {
		if !o.at.Before(s.to) {
			break
		}
		sent++
		if o.served {
			served++
		}
	}
	return served, sent
}

// sortedOutcomes returns the outcomes by the time at which the requests were sent.
func (w *world) sortedOutcomes() []outcome {
	list := w.observed.outcomes
	sort.SliceStable(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
	return list
}

// servedTooLittle returns the calm spans in which too few requests were served.
func (w *world) servedTooLittle() (broken []string) {
	outcomes := w.sortedOutcomes()
	for _, calm := range w.calmStretches(outcomes) {
		for at := calm.from; !at.Add(servedSpan).After(calm.to); at = at.Add(servedStep) {
			served, sent := servedWithin(outcomes, span{at, at.Add(servedSpan)})
			if sent >= minRequests && leastServed*served < sent {
				broken = append(broken, fmt.Sprintf("%d of %d requests were served in the calm %v from %v on", served, sent, servedSpan, at.Format(time.StampMilli)))
			}
		}
	}
	return broken
}

// servedSummary states the longest calm stretch and what was served in all of them.
func (w *world) servedSummary() string {
	var longest time.Duration
	outcomes := w.sortedOutcomes()
	served, sent, statuses, nodes := 0, 0, make(map[int]int), make(map[int]int)
	for _, calm := range w.calmStretches(outcomes) {
		longest = max(longest, calm.to.Sub(calm.from))
		for _, o := range outcomes {
			if o.at.Before(calm.from) || !o.at.Before(calm.to) {
				continue
			}
			sent++
			if o.served {
				served++
			} else {
				statuses[o.status]++
				nodes[o.node]++
			}
		}
	}
	if sent == 0 {
		return fmt.Sprintf("longest calm stretch %v", longest)
	}
	return fmt.Sprintf("longest calm stretch %v, served in calm: %.3f of %d requests, not served by status: %v, by node: %v",
		longest.Round(time.Millisecond), float64(served)/float64(sent), sent, statuses, nodes)
}
