package placer

import (
	"slices"

	"github.com/cherryward/cherryward/coord/rendezvous"
	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/forward"
)

const (
	// prefillPerMs is the number of prompt tokens that an engine reads in a ms,
	// as the operators state it for the present engines.
	prefillPerMs = 112.0
	// runningMs is what a request under way adds to the time to a first event.
	runningMs = 0.6
	// unseenLoad scales this node's own counts up to those of all nodes.
	unseenLoad = 3.0
	// oldWeightsMs is the cost of weights that are no longer wanted: a fifth of
	// the request's worth, against an objective of 400 to 600 ms.
	oldWeightsMs = 120.0
	// failureMs is the cost of a failure rate of 1.
	failureMs = 400.0
	// foreignDomainMs is the cost of another failure domain.
	foreignDomainMs = 2.0
	// keptAtHome is the share of a session's shared parts that its home engine is
	// assumed to keep.
	keptAtHome = 0.6
)

// placePrompt picks the engine with the least predicted time to the first event.
func (p *Placer) placePrompt(q *forward.Query, candidates []*fleet.Member) forward.Placement {
	wanted, _ := p.Versions.Wanted(q.Attributes.Model)
	home := homeOf(q, candidates)
	best := slices.MinFunc(score(candidates, func(m *fleet.Member) float64 {
		return p.promptCost(q, m, m.ID == home, wanted)
	}), byCost).member
	version := best.VersionOf(q.Attributes.Model)
	reason := "least_time"
	if best.ID == home {
		reason = "home"
	}
	return forward.Placement{
		Member: best,
		Attempt: forward.Attempt{
			Instance: best.ID,
			Account:  accountName(q),
			Priority: priorityOf(q),
			Version:  version,
			Salt:     saltOf(q, version),
		},
		Reading: reading(q, best.ID == home),
		Reason:  reason,
	}
}

func (p *Placer) promptCost(q *forward.Query, m *fleet.Member, home bool, wanted int64) float64 {
	cost := (unseenLoad*float64(m.Load.Reading()) + float64(reading(q, home))) / prefillPerMs
	cost += runningMs * unseenLoad * float64(m.Load.Running())
	cost += failureMs * m.Health.FailureRate()
	if m.VersionOf(q.Attributes.Model) < wanted {
		cost += oldWeightsMs
	}
	if m.Endpoint().Domain != p.Domain {
		cost += foreignDomainMs
	}
	return cost
}

// homeOf returns the engine on which all nodes place a session by preference, so
// that its parts are found there.
func homeOf(q *forward.Query, candidates []*fleet.Member) string {
	parts := q.Attributes.Parts
	if len(parts) < 2 {
		return ""
	}
	nodes := make([]rendezvous.Node, len(candidates))
	for i, m := range candidates {
		nodes[i] = rendezvous.Node{ID: m.ID, Weight: 1}
	}
	home, _ := rendezvous.Owner(parts[len(parts)-2].ID, nodes)
	return home
}

// reading estimates the prompt tokens that an engine has to read.
func reading(q *forward.Query, home bool) int {
	parts := q.Attributes.Parts
	if len(parts) == 0 {
		return q.Attributes.PromptTokens
	}
	shared := 0
	for _, part := range parts[:len(parts)-1] {
		shared += part.Tokens
	}
	own := parts[len(parts)-1].Tokens
	if home {
		return own + int((1-keptAtHome)*float64(shared))
	}
	return own + shared
}

