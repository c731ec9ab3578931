package placer

import (
	"slices"

	"github.com/cherryward/cherryward/internal/admission"
	"github.com/cherryward/cherryward/internal/fleet"
)

// spillFreeShare is the share of an engine's slots and memory that must be free for a prompt which
// its own failure domain has no room for. The loads of other domains are up to 0.5 s old and coarse,
// and all nodes of a full domain may choose the engine in that time.
const spillFreeShare = 0.2

// findRoom returns the engines that have room for the prompt, among those that it should use, or else
// among all whose load is current, or else among some of other failure domains. spilled is true for
// the last. local are the engines whose load is current, set if the first ones had no room.
func (s *selection) findRoom(candidates []*fleet.Member) (withRoom, local []*fleet.Member, spilled bool) {
	withRoom = s.withRoom(s.selectCandidates(candidates))
	if len(withRoom) > 0 {
		return withRoom, nil, false
	}
	// Other engines whose load is reported may have room, and a refused caller retries late.
	local = s.localCandidates(candidates)
	if withRoom = s.withRoom(local); len(withRoom) > 0 {
		return withRoom, local, false
	}
	withRoom = s.spillCandidates(candidates, local)
	return withRoom, local, len(withRoom) > 0
}

// spillCandidates returns those of a few random engines of other failure domains of this region that
// have ample room for the prompt. Domains without load reports are left out, as their engines would
// appear idle.
//
// It addresses domains that are fuller than others: a domain that lost engines served 0.20 of its
// long prompts while another served 0.50, as the share of prompts moved by utilization is at most
// half.
func (s *selection) spillCandidates(candidates, local []*fleet.Member) []*fleet.Member {
	if len(local) == len(candidates) { // always in a small system
		return nil
	}
	reported := s.PeerLoads.Domains(s.now)
	others := within(candidates, func(domain string) bool {
		return domain != s.Domain && slices.Contains(reported, domain) && s.Regions.SameRegion(domain, s.Domain)
	})
	return without(s.sample(others, remoteChoices), func(m *fleet.Member) bool { return !s.hasAmpleRoom(m) })
}

// hasAmpleRoom reports whether spillFreeShare of the engine's slots and memory is free, and the prompt
// fits. The memory that nodes of this domain leave free for unreported prompts is part of that share.
func (s *selection) hasAmpleRoom(m *fleet.Member) bool {
	slots := s.slots(m)
	if !slots.Fits(slots.FreeShare(spillFreeShare)) {
		return false
	}
	capacity := s.q.Service.Engine.KVTokens
	memory := admission.Memory{Capacity: capacity, OccupiedTokens: s.memory(m).OccupiedTokens}
	return memory.Fits(averageHeldTokens(s.q), max(s.reserve, int(spillFreeShare*float64(capacity))))
}
