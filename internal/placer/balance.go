package placer

import (
	"slices"

	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// remoteGain determines the share of a failure domain's prompts that is sent to other domains:
	// remoteGain times the difference between the domain's utilization and that of all engines. The
	// value closes most of the difference without oscillating, because the age of load reports is
	// shorter than the duration of a run.
	remoteGain = 3.0
	// regionMargin is by how much the utilization of a region may exceed that of all engines before
	// prompts are sent to other regions, whose answers arrive later and over a shared link.
	regionMargin = 0.2
	// maxRemoteShare bounds that share, as load reports of other domains are old and coarse.
	maxRemoteShare = 0.5
	// remoteChoices is the number of random engines of another domain among which a prompt is
	// placed. If all engines were considered, all nodes would choose the same one until the next
	// load report.
	remoteChoices = 3
	// localChoices is the number of random engines of this domain among which a prompt is placed,
	// in addition to those with an open connection.
	localChoices = 2
)

// domainUse is the utilization of the engines of a failure domain.
type domainUse struct {
	domain         string
	engines        []*fleet.Member
	running, slots int
}

// share returns the utilization, as a share of the slots; more than 1 if requests are queued.
func (u *domainUse) share() float64 { return float64(u.running) / float64(max(u.slots, 1)) }

// spareRequests returns how many more requests the domain would run at the given utilization of all
// engines.
func (u *domainUse) spareRequests(all float64) float64 {
	return max(all*float64(u.slots)-float64(u.running), 0)
}

// selectCandidates returns the engines among which the prompt is placed. In a large system these
// are engines of this node's failure domain, except for a share of the prompts that grows with how
// far the utilization of that domain exceeds the utilization of all. Callers and engines are spread
// unevenly over domains: without this, callers of a busier domain would get slower answers than
// others.
func (s *selection) selectCandidates(candidates []*fleet.Member) []*fleet.Member {
	s.candidateCount = len(candidates)
	if s.FullMesh() {
		return candidates
	}
	local := s.localCandidates(candidates)
	s.candidateCount = len(local)
	if len(local) < len(candidates) {
		if remote := s.remoteCandidates(candidates); len(remote) > 0 {
			return remote
		}
	}
	return s.sampleLocal(local)
}

// sampleLocal returns the engines to which this node has an open connection, and a few random
// others. A new engine, or one that restarted empty, has the lowest load in all nodes' view until
// the next load report. If all nodes chose among all engines, it would get all prompts placed in
// that time. Using few engines often also takes fewer new connections than using all engines
// rarely.
func (s *selection) sampleLocal(local []*fleet.Member) []*fleet.Member {
	var connected []*fleet.Member
	unconnected := make([]*fleet.Member, 0, len(local))
	for _, m := range local {
		if s.connected(m, s.now) {
			connected = append(connected, m)
		} else {
			unconnected = append(unconnected, m)
		}
	}
	return append(connected, s.sample(unconnected, localChoices)...)
}

// remoteCandidates returns a few engines of another failure domain, or none if the prompt should
// stay in this one. Domains without load reports are left out, as their engines would appear idle.
func (s *selection) remoteCandidates(candidates []*fleet.Member) []*fleet.Member {
	reported := s.PeerLoads.Domains(s.now)
	if len(reported) == 0 {
		return nil
	}
	uses := s.domainUses(candidates, reported)
	own := slices.IndexFunc(uses, func(u *domainUse) bool { return u.domain == s.Domain })
	if own < 0 {
		return nil
	}
	near, far := s.byRegion(uses)
	all, region := sum(uses), sum(near)
	target := s.lessUtilizedDomain(near, uses[own].share(), region.share())
	if len(far) > 0 && s.moves(region.share()-all.share()-regionMargin) {
		target = s.randomDomain(far, all.share())
	}
	if target == nil {
		return nil
	}
	return s.sample(target.engines, remoteChoices)
}

// byRegion splits failure domains into those of this node's region and others.
func (s *selection) byRegion(uses []*domainUse) (near, far []*domainUse) {
	for _, u := range uses {
		if s.Regions.SameRegion(u.domain, s.Domain) {
			near = append(near, u)
		} else {
			far = append(far, u)
		}
	}
	return near, far
}

// sum returns the utilization of all given failure domains together.
func sum(uses []*domainUse) domainUse {
	var all domainUse
	for _, u := range uses {
		all.running, all.slots = all.running+u.running, all.slots+u.slots
	}
	return all
}

// moves decides at random whether a prompt is sent elsewhere, where the utilization here exceeds the
// other one by the given difference.
func (s *selection) moves(difference float64) bool {
	share := min(remoteGain*difference, maxRemoteShare)
	return share > 0 && s.Random() < share
}

// lessUtilizedDomain returns the failure domain to which a prompt is sent because the utilization of
// this node's domain exceeds that of all, or nil if the prompt stays.
func (s *selection) lessUtilizedDomain(uses []*domainUse, own, all float64) *domainUse {
	if !s.moves(own - all) {
		return nil
	}
	return s.randomDomain(uses, all)
}

// domainUses returns the utilization of each failure domain. Domains other than this one and the
// reported ones are left out.
func (s *selection) domainUses(candidates []*fleet.Member, reported []string) (byDomain []*domainUse) {
	for _, m := range candidates {
		endpoint := m.Endpoint()
		if endpoint.Domain != s.Domain && !slices.Contains(reported, endpoint.Domain) {
			continue
		}
		i := slices.IndexFunc(byDomain, func(u *domainUse) bool { return u.domain == endpoint.Domain })
		if i < 0 {
			i = len(byDomain)
			byDomain = append(byDomain, &domainUse{domain: endpoint.Domain})
		}
		u := byDomain[i]
		running := m.Load.Running() + s.peerLoads.At(m.ID, m.StartedMs).Running
		u.engines = append(u.engines, m)
		u.running, u.slots = u.running+running, u.slots+endpoint.Slots
	}
	return byDomain
}

// randomDomain returns a random failure domain whose utilization is below that of all engines,
// weighted by its spare requests. It returns nil if there is none.
func (s *selection) randomDomain(uses []*domainUse, all float64) *domainUse {
	sum := 0.0
	for _, u := range uses {
		sum += u.spareRequests(all)
	}
	draw := s.Random() * sum
	for _, u := range uses {
		spare := u.spareRequests(all)
		if spare > 0 && draw < spare {
			return u
		}
		draw -= spare
	}
	return nil
}

// sample returns up to count engines, chosen at random.
func (s *selection) sample(engines []*fleet.Member, count int) []*fleet.Member {
	list := make([]*fleet.Member, 0, count)
	for i := range engines {
		remaining, missing := len(engines)-i, count-len(list)
		if s.Random()*float64(remaining) < float64(missing) {
			list = append(list, engines[i])
		}
	}
	return list
}
