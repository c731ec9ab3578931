package placer

import (
	"slices"

	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// awayGain is the share of a failure domain's prompts that go to others, for each part by
	// which its engines are fuller than all engines. It closes most of a gap without swinging, as told
	// loads are younger than runs last.
	awayGain = 3.0
	// awayMost bounds that share: what is told of other domains is old and coarse.
	awayMost = 0.5
	// awayChoices is the number of random engines of another domain of which the best is taken:
	// all nodes that looked for the best of all would find the same one between two messages.
	awayChoices = 3
	// freshChoices is the number of random engines of the own domain among which a prompt is
	// placed, beside those to which a connection is kept.
	freshChoices = 2
)

// use is how much of the engines of a failure domain is in use.
type use struct {
	domain         string
	engines        []*fleet.Member
	running, slots int
}

// share returns the part of the slots that is in use; more than 1 where requests wait.
func (u *use) share() float64 { return float64(u.running) / float64(max(u.slots, 1)) }

// spare returns how many more requests the domain would have under way if it were as full as
// all engines.
func (u *use) spare(all float64) float64 { return max(all*float64(u.slots)-float64(u.running), 0) }

// reach returns the engines among which the prompt is placed: in a large system those of this
// node's failure domain, but for a share of the prompts that rises with how much fuller they are
// than the others'. Callers and engines are spread unequally: without it, callers of a fuller domain
// get worse answers than those of another.
func (s *search) reach(candidates []*fleet.Member) []*fleet.Member {
	s.among = len(candidates)
	if s.Whole() {
		return candidates
	}
	near := s.near(candidates)
	s.among = len(near)
	if len(near) < len(candidates) {
		if away := s.away(candidates); len(away) > 0 {
			return away
		}
	}
	return s.choices(near)
}

// choices returns the engines to which this node keeps a connection, and a few random others. An
// engine that is new, or back empty, looks the least busy to all nodes between two messages: with
// all of them choosing among all, it gets what they all place in that time. And a node that uses
// few engines often opens fewer connections than one that uses all seldom.
func (s *search) choices(near []*fleet.Member) []*fleet.Member {
	var kept []*fleet.Member
	others := make([]*fleet.Member, 0, len(near))
	for _, m := range near {
		if m.Pool.Kept(s.now) {
			kept = append(kept, m)
		} else {
			others = append(others, m)
		}
	}
	return append(kept, s.some(others, freshChoices)...)
}

// away returns a few engines of another failure domain, or none where the prompt is to stay. Domains
// count whose load is known: others' engines would look empty.
func (s *search) away(candidates []*fleet.Member) []*fleet.Member {
	known := s.Peers.Domains(s.now)
	if len(known) == 0 {
		return nil
	}
	uses, all := s.uses(candidates, known)
	own := slices.IndexFunc(uses, func(u *use) bool { return u.domain == s.Domain })
	if own < 0 {
		return nil
	}
	share := min(awayGain*(uses[own].share()-all.share()), awayMost)
	if share <= 0 || s.Random() >= share {
		return nil
	}
	to := s.emptier(uses, all.share())
	if to == nil {
		return nil
	}
	return s.some(to.engines, awayChoices)
}

// uses returns how much of the engines is in use, by failure domain and of all of this one and the
// known ones.
func (s *search) uses(candidates []*fleet.Member, known []string) (byDomain []*use, all use) {
	for _, m := range candidates {
		at := m.Endpoint()
		if at.Domain != s.Domain && !slices.Contains(known, at.Domain) {
			continue
		}
		i := slices.IndexFunc(byDomain, func(u *use) bool { return u.domain == at.Domain })
		if i < 0 {
			i = len(byDomain)
			byDomain = append(byDomain, &use{domain: at.Domain})
		}
		u := byDomain[i]
		running := m.Load.Running() + s.others.Of(m.ID, m.Born).Running
		u.engines = append(u.engines, m)
		u.running, u.slots = u.running+running, u.slots+at.Slots
		all.running, all.slots = all.running+running, all.slots+at.Slots
	}
	return byDomain, all
}

// emptier returns a random failure domain that is emptier than all together, by what it has to
// spare; nil where there is none.
func (s *search) emptier(uses []*use, all float64) *use {
	sum := 0.0
	for _, u := range uses {
		sum += u.spare(all)
	}
	at := s.Random() * sum
	for _, u := range uses {
		spare := u.spare(all)
		if spare > 0 && at < spare {
			return u
		}
		at -= spare
	}
	return nil
}

// some returns a few random ones of the engines.
func (s *search) some(engines []*fleet.Member, few int) []*fleet.Member {
	list := make([]*fleet.Member, 0, few)
	for i := range engines {
		left, lacking := len(engines)-i, few-len(list)
		if s.Random()*float64(left) < float64(lacking) {
			list = append(list, engines[i])
		}
	}
	return list
}
