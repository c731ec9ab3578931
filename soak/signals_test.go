package soak

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cherryward/cherryward/standin/modelserver"
)

const (
	// All nodes together may send at most limitBound requests per limitWindow to a server that
	// reports the limit limitPerS.
	limitPerS   = "2"
	limitWindow = 4 * time.Second
	limitBound  = 17 // 1.5 times the number that the limit allows, plus 5
	limitDelay  = 500 * time.Millisecond
	// maxDuringRetryAfter is the number of requests of a node that may reach a server between
	// retryAfterDelay after a response with Retry-After and the end of that time.
	maxDuringRetryAfter = 2
	retryAfterDelay     = 500 * time.Millisecond
	retryAfterSeconds   = "1.5"
	// brittleRefusals is the least number of refusals per second that brittle servers bear.
	brittleRefusals = 2
)

// invalidSignals are invalid header values, which must be ignored.
var invalidSignals = []string{"NaN", "-1", "inf", "", "soon", "1, 2"}

// signalLimit makes one or all model servers report a limit.
func (w *world) signalLimit(target int, lasts time.Duration) {
	servers := w.site.Models
	if target%4 != 0 {
		servers = servers[w.chosen(target):][:1]
	}
	w.limit(servers, lasts)
}

// limit makes servers report a limit, for longer than the window that is checked.
func (w *world) limit(servers []*modelserver.Server, lasts time.Duration) {
	if !w.limiting.TryLock() {
		return
	}
	defer w.limiting.Unlock()
	defer w.limited.open()()
	w.injectServersFault(servers, w.bounds.StableWindow+limitWindow+2*lasts, func(f *modelserver.Faults) { f.Limit = limitPerS })
}

// sendInvalidSignals makes all servers send invalid header values.
func (w *world) sendInvalidSignals(target int, lasts time.Duration) {
	bad := func(i int) string { return invalidSignals[(target+i)%len(invalidSignals)] }
	w.injectServersFault(w.servers(), lasts, func(f *modelserver.Faults) {
		f.Limit, f.Draining, f.RejectRequests, f.RetryAfter, f.Brittle = bad(0), bad(1), target%2 == 0, bad(2), bad(3)
	})
}

// signalBrittle makes all model servers report that they bear few refusals, most of them while they refuse all
// requests, for longer than nodes have to learn of it.
func (w *world) signalBrittle(target int, lasts time.Duration) {
	end := w.brittle.open()
	defer end()
	bears := strconv.Itoa(brittleRefusals + target%2)
	w.injectServersFault(w.site.Models, w.bounds.StableWindow+2*lasts, func(f *modelserver.Faults) { f.Brittle, f.RejectRequests = bears, target%3 != 0 })
}

// refusedTooOften returns the seconds in which a server that reported to be brittle refused more requests of
// undisturbed nodes than it bears.
func (w *world) refusedTooOften(s *modelserver.Server) []string {
	var refused []time.Time
	bears := brittleRefusals + 1
	for _, a := range w.arrivals(s) {
		since := a.At.Add(-w.bounds.StableWindow)
		reported, err := strconv.Atoi(a.Brittle)
		if err != nil || reported < brittleRefusals || !a.Refused || !w.brittle.covers(since, a.At) || !w.calmBetween(since, a.At) {
			continue
		}
		refused = append(refused, a.At)
	}
	var broken []string
	for i, first := range refused {
		count := 0
		for _, at := range refused[i:] {
			if at.Sub(first) < time.Second {
				count++
			}
		}
		if count > bears {
			broken = append(broken, fmt.Sprintf("%s is brittle and refused %d requests in a second", s.ID(), count))
		}
	}
	return broken
}

// calmBetween reports whether no node was disturbed in a period.
func (w *world) calmBetween(from, to time.Time) bool {
	return !slices.ContainsFunc(w.nodes, func(n *process) bool { return !n.disturbances.noneWithin(from, to) })
}

// signalDraining makes a model server report in its responses that it is draining, while its registry
// entry says ready, for longer than the drain bound, and then restarts it.
func (w *world) signalDraining(target int, lasts time.Duration) {
	if !w.removing.TryLock() {
		return
	}
	defer w.removing.Unlock()
	i := w.chosen(target)
	defer w.draining[i].open()()
	w.injectServersFault(w.site.Models[i:i+1], 2*w.bounds.Drain+lasts, func(f *modelserver.Faults) { f.Draining = "1" })
	w.restart(i)
}

// arrival is a request that reached a server through a node.
type arrival struct {
	modelserver.Arrival
	node int
	// respondedAt is when the caller received the response headers; zero if the response came from
	// another server or none was received.
	respondedAt time.Time
}

// arrivals returns the requests that reached a server, ordered by time.
func (w *world) arrivals(s *modelserver.Server) []arrival {
	var list []arrival
	for _, a := range s.Arrivals() {
		received := w.observed.received[a.Request]
		if received.server != s.ID() {
			received.at = time.Time{}
		}
		list = append(list, arrival{a, w.observed.sent[a.Request].node, received.at})
	}
	slices.SortFunc(list, func(a, b arrival) int { return a.At.Compare(b.At) })
	return list
}

// signalReceived reports whether the node that sent an arrival had received an earlier matching
// response of the same incarnation of the server, no later than latest, and had no faults since.
func (w *world) signalReceived(list []arrival, a *arrival, latest time.Time, matches func(*modelserver.Arrival) bool) bool {
	return slices.ContainsFunc(list, func(b arrival) bool {
		return b.Request != a.Request && b.node == a.node && b.StartedMs == a.StartedMs && !b.respondedAt.IsZero() && !b.respondedAt.After(latest) &&
			matches(&b.Arrival) && w.nodes[a.node].disturbances.noneWithin(b.respondedAt, a.At)
	})
}

// overLimit returns the windows in which a server received more requests than its limit allows from
// nodes that had received the limit.
func (w *world) overLimit(s *modelserver.Server) []string {
	limited := func(a *modelserver.Arrival) bool { return a.Limit == limitPerS }
	all := w.arrivals(s)
	var counted []arrival
	for _, a := range all {
		if limited(&a.Arrival) && w.limited.covers(a.At.Add(-w.bounds.StableWindow), a.At) && w.signalReceived(all, &a, a.At.Add(-limitDelay), limited) {
			counted = append(counted, a)
		}
	}
	var broken []string
	for i, first := range counted {
		in := slices.IndexFunc(counted[i:], func(a arrival) bool { return a.At.Sub(first.At) > limitWindow })
		if in < 0 {
			in = len(counted) - i
		}
		if in > limitBound {
			broken = append(broken, fmt.Sprintf("%s reported a limit of %s per second and received %d requests in %v", s.ID(), limitPerS, in, limitWindow))
		}
	}
	return broken
}

// reachedDraining returns the requests that reached a server after their node had received the report
// that it is draining.
func (w *world) reachedDraining(s *modelserver.Server) []string {
	all := w.arrivals(s)
	leaving := func(a *modelserver.Arrival) bool { return a.Draining == "1" }
	var broken []string
	for _, a := range all {
		sent := w.observed.sent[a.Request].at
		if leaving(&a.Arrival) && w.signalReceived(all, &a, sent.Add(-w.bounds.Drain), leaving) {
			broken = append(broken, fmt.Sprintf("%s reached %s more than %v after its node received that it is draining", a.Request, s.ID(), w.bounds.Drain))
		}
	}
	return broken
}

// ignoredRetryAfter returns the violations of Retry-After headers that a server sent to a node. Times
// with link faults are excluded, as a rejection may be lost then.
func (w *world) ignoredRetryAfter(s *modelserver.Server, link *proxy) []string {
	all := w.arrivals(s)
	var broken []string
	for i := range all {
		asked := &all[i]
		seconds, err := strconv.ParseFloat(asked.RetryAfter, 64)
		if err != nil || asked.RetryAfter != retryAfterSeconds || !link.disturbances.noneWithin(asked.At.Add(-retryAfterDelay), asked.At.Add(retryAfterDelay)) {
			continue
		}
		end := asked.At.Add(time.Duration(seconds * float64(time.Second)))
		if !w.nodes[asked.node].disturbances.noneWithin(asked.At, end) {
			continue
		}
		count := 0
		for _, a := range all[i:] {
			if a.node == asked.node && a.StartedMs == asked.StartedMs && a.At.Sub(asked.At) > retryAfterDelay && a.At.Before(end) {
				count++
			}
		}
		if count > maxDuringRetryAfter {
			broken = append(broken, fmt.Sprintf("%s sent Retry-After to n%d and received %d requests from it in that time", s.ID(), asked.node, count))
		}
	}
	return broken
}

// ignoredSignals returns the requests that nodes sent contrary to the signals of servers.
func (w *world) ignoredSignals() (broken []string) {
	for i, s := range w.site.Models {
		broken = append(broken, w.overLimit(s)...)
		broken = append(broken, w.reachedDraining(s)...)
		broken = append(broken, w.refusedTooOften(s)...)
		if len(w.proxies) > 0 {
			broken = append(broken, w.ignoredRetryAfter(s, w.link(i))...)
		}
	}
	return broken
}
