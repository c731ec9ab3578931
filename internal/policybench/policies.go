package policybench

import (
	"errors"
	"strconv"
	"time"

	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/enginestate"
	"github.com/cherryward/cherryward/internal/kvcache/policy"
)

// Policy is a way to place the workload. If pick is set, entry nodes send each turn directly to the
// engine that it returns; otherwise they place by the owners' estimates.
type Policy struct {
	Name         string
	pick         func(*system, *turn) int
	export       policy.ExportPolicy // nil: no store
	importAlways bool
	oracle       bool          // exports exactly the blocks that will be needed again
	lag          time.Duration // delay of gossiped indexes and loads; 0 if owners are queried instead
	homes        int           // number of nodes that each place part of the conversations; 0 for one owner per engine
	overlap      bool          // engines compute the head of a prompt while its tail is imported
}

// DaemonPolicy is the policy that the daemon uses, named "ours" in results.
var DaemonPolicy = Policy{Name: "ours", export: policy.ExportByValue{}}

const fleetRate = oldEngines*oldRate + newEngines*newRate

// engineRate returns the actual prefill rate of an engine. The baselines use it, which makes them
// stronger; DaemonPolicy has to measure it.
func engineRate(i int) float64 {
	if i < oldEngines {
		return oldRate
	}
	return newRate
}

// Policies lists the policies to compare.
var Policies = []Policy{
	{Name: "round robin", pick: roundRobin},
	{Name: "least load", pick: leastLoad},
	{Name: "sticky hash", pick: stickyHash},
	{Name: "bounded sticky hash", pick: boundedStickyHash},
	{Name: "ours without store"},
	{Name: "ours importing always", export: policy.ExportByValue{}, importAlways: true},
	{Name: "ours exporting always", export: policy.ExportAlways{}},
	{Name: "ours exporting on second use", export: policy.ExportSecondUse{}},
	{Name: "ours exporting by oracle", export: policy.ExportAlways{}, oracle: true},
	{Name: "ours by gossip of 1 s", export: policy.ExportByValue{}, lag: time.Second},
	{Name: "ours by gossip of 5 s", export: policy.ExportByValue{}, lag: 5 * time.Second},
	{Name: "home nodes", export: policy.ExportByValue{}, homes: homeNodes},
	{Name: "ours computing the head while importing", export: policy.ExportByValue{}, overlap: true},
	DaemonPolicy,
}

// usable reports whether an engine has not crashed.
func (s *system) usable(i int) bool { return !s.engines[i].dead }

func roundRobin(s *system, _ *turn) int {
	for {
		s.next = (s.next + 1) % len(s.engines)
		if s.usable(s.next) {
			return s.next
		}
	}
}

// reportedWait returns the seconds that an engine needs, at its actual rate, for the waiting prompt
// tokens in its last load report.
func (s *system) reportedWait(i int) float64 { return float64(s.reports[i]) / engineRate(i) }

// leastLoad returns the engine with the shortest wait by the last load reports, a random one on a tie.
func leastLoad(s *system, _ *turn) int {
	best, ties := -1, 0
	for i := range s.engines {
		switch {
		case !s.usable(i) || best >= 0 && s.reportedWait(i) > s.reportedWait(best):
		case best < 0 || s.reportedWait(i) < s.reportedWait(best):
			best, ties = i, 1
		default:
			if ties++; s.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// ranking returns the usable engines in the conversation's rendezvous hashing order.
func (s *system) ranking(t *turn) []int {
	var order []int
	for _, id := range rendezvous.Top(len(s.engines), strconv.Itoa(t.conv.id), engineNodes) {
		if i, _ := strconv.Atoi(id); s.usable(i) {
			order = append(order, i)
		}
	}
	return order
}

var engineNodes = func() []rendezvous.Node {
	nodes := make([]rendezvous.Node, oldEngines+newEngines)
	for i := range nodes {
		nodes[i] = rendezvous.Node{ID: strconv.Itoa(i), Weight: engineRate(i)}
	}
	return nodes
}()

func stickyHash(s *system, t *turn) int { return s.ranking(t)[0] }

// boundedStickyHash returns the first engine of the ranking that has no more than maxLoadFactor times
// its share of the runs. It uses exact counts instead of reports.
func boundedStickyHash(s *system, t *turn) int {
	total := 1
	for _, e := range s.engines {
		total += e.runCount()
	}
	order := s.ranking(t)
	for _, i := range order {
		share := engineRate(i) / fleetRate
		if float64(s.engines[i].runCount()) <= maxLoadFactor*float64(total)*share {
			return i
		}
	}
	return order[0]
}

// handleRefusal handles an owner's refusal: it places the job again while attempts remain, and sheds
// it otherwise.
func (s *system) handleRefusal(j *job, err error) {
	var refused *enginestate.RefusedError
	if errors.As(err, &refused) && j.attempt < maxAttempts {
		s.after(hop, func() { s.send(j) })
		return
	}
	s.shed(j)
}
