package soak

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/standin/modelserver"
)

const (
	// Of a server that names this limit nodes send no more than limitBound in limitWindow.
	limitPerS   = "2"
	limitWindow = 4 * time.Second
	limitBound  = 17 // 1.5 times what the limit allows, and 5
	limitTold   = 500 * time.Millisecond
	// restBound is the number of requests of a node that may reach a server from restHeeded after it asked for
	// rest until that is over.
	restBound  = 2
	restHeeded = 500 * time.Millisecond
	askedRest  = "1.5"
)

// badWords are what no server should say; each counts as nothing.
var badWords = []string{"NaN", "-1", "inf", "", "soon", "1, 2"}

// nameLimit has a model server, or all of them, name a limit for longer than it is judged.
func (w *world) nameLimit(target int, lasts time.Duration) {
	if !w.limiting.TryLock() {
		return
	}
	defer w.limiting.Unlock()
	servers := w.site.Models
	if target%4 != 0 {
		servers = servers[target%len(servers):][:1]
	}
	end := w.limited.open()
	defer end()
	w.misbehaveAll(servers, stableWindow+limitWindow+2*lasts, func(f *modelserver.Faults) { f.Limit = limitPerS })
}

// sayBadWords has all servers say what can't be read.
func (w *world) sayBadWords(target int, lasts time.Duration) {
	bad := func(i int) string { return badWords[(target+i)%len(badWords)] }
	w.misbehaveAll(w.servers(), lasts, func(f *modelserver.Faults) {
		f.Limit, f.Leaving, f.Shed, f.Rest = bad(0), bad(1), target%2 == 0, bad(2)
	})
}

// sayLeaving has a model server say in its answers that it leaves, while its entry says that it is ready, for longer
// than the drain bound, and start again then.
func (w *world) sayLeaving(target int, lasts time.Duration) {
	if !w.leaving.TryLock() {
		return
	}
	defer w.leaving.Unlock()
	i := target % len(w.site.Models)
	w.misbehaveAll(w.site.Models[i:i+1], 2*drainBound+lasts, func(f *modelserver.Faults) { f.Leaving = "1" })
	test.NoError(w.t, w.site.Restart(i, false))
}

// arrival is one request that reached a server by way of a node.
type arrival struct {
	modelserver.Arrival
	node int
	// told is when the caller had the head of the answer; zero where it came from no such answer.
	told time.Time
}

// arrivals returns the requests that reached a server, by time.
func (w *world) arrivals(s *modelserver.Server) []arrival {
	var list []arrival
	for _, a := range s.Arrivals() {
		heard := w.seen.heard[a.Request]
		if heard.server != s.ID() {
			heard.at = time.Time{}
		}
		list = append(list, arrival{a, w.seen.sent[a.Request].node, heard.at})
	}
	slices.SortFunc(list, func(a, b arrival) int { return a.At.Compare(b.At) })
	return list
}

// toldBy reports whether a node had passed on an answer of the same start of a server that says something, no later than a
// time, and was not in trouble from then on.
func (w *world) toldBy(list []arrival, a *arrival, latest time.Time, says func(*modelserver.Arrival) bool) bool {
	return slices.ContainsFunc(list, func(b arrival) bool {
		return b.Request != a.Request && b.node == a.node && b.Born == a.Born && !b.told.IsZero() && !b.told.After(latest) &&
			says(&b.Arrival) && w.nodes[a.node].harmed.calm(b.told, a.At)
	})
}

// overLimit returns the windows in which a server got more than its limit allows of nodes that had passed it on.
func (w *world) overLimit(s *modelserver.Server) []string {
	limited := func(a *modelserver.Arrival) bool { return a.Limit == limitPerS }
	all := w.arrivals(s)
	var counted []arrival
	for _, a := range all {
		if limited(&a.Arrival) && w.limited.covers(a.At.Add(-stableWindow), a.At) && w.toldBy(all, &a, a.At.Add(-limitTold), limited) {
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
			broken = append(broken, fmt.Sprintf("%s named a limit of %s a second and got %d requests in %v", s.ID(), limitPerS, in, limitWindow))
		}
	}
	return broken
}

// reachedLeaving returns the requests that reached a server after it had told their node that it leaves.
func (w *world) reachedLeaving(s *modelserver.Server) []string {
	all := w.arrivals(s)
	leaving := func(a *modelserver.Arrival) bool { return a.Leaving == "1" }
	var broken []string
	for _, a := range all {
		sent := w.seen.sent[a.Request].at
		if leaving(&a.Arrival) && w.toldBy(all, &a, sent.Add(-drainBound), leaving) {
			broken = append(broken, fmt.Sprintf("%s reached %s %v after its node was told that it leaves", a.Request, s.ID(), drainBound))
		}
	}
	return broken
}

// disturbed returns the rests that a server asked a node for and did not get. A refusal may be lost on a link in
// trouble.
func (w *world) disturbed(s *modelserver.Server, link *proxy) []string {
	all := w.arrivals(s)
	var broken []string
	for i := range all {
		asked := &all[i]
		seconds, err := strconv.ParseFloat(asked.Rest, 64)
		if err != nil || asked.Rest != askedRest || !link.harmed.calm(asked.At.Add(-restHeeded), asked.At.Add(restHeeded)) {
			continue
		}
		end := asked.At.Add(time.Duration(seconds * float64(time.Second)))
		if !w.nodes[asked.node].harmed.calm(asked.At, end) {
			continue
		}
		count := 0
		for _, a := range all[i:] {
			if a.node == asked.node && a.Born == asked.Born && a.At.Sub(asked.At) > restHeeded && a.At.Before(end) {
				count++
			}
		}
		if count > restBound {
			broken = append(broken, fmt.Sprintf("%s asked n%d for rest and got %d requests of it meanwhile", s.ID(), asked.node, count))
		}
	}
	return broken
}

// unheeded returns what nodes sent against the word of servers.
func (w *world) unheeded() (broken []string) {
	for i, s := range w.site.Models {
		broken = append(broken, w.overLimit(s)...)
		broken = append(broken, w.reachedLeaving(s)...)
		if modelProxy+i < len(w.proxies) {
			broken = append(broken, w.disturbed(s, w.proxies[modelProxy+i])...)
		}
	}
	return broken
}
