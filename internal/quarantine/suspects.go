package quarantine

import "slices"

const (
	// suspectWeight is the number of endings from which a part is told to all nodes, which then tell when a
	// request with it begins.
	suspectWeight = 2
	// announcers is the number of coordinators that tell all nodes of suspected and held parts.
	announcers = 2
)

// announces reports whether this node tells all others of an account's parts. In a small system every node has all
// reports.
func (s *Service) announces(account Fingerprint) bool {
	peers := s.config.Peers()
	if len(peers) < coordinators {
		return false
	}
	rank := slices.Index(s.coordinators(account, peers), s.config.Node)
	return rank >= 0 && rank < announcers
}

// tellSuspect tells all nodes of a part that has just become suspect.
func (s *Service) tellSuspect(e *Ending) {
	if !e.accusesPart() || !s.becomesSuspect(e.Fingerprint, suspectWeight) || !s.announces(e.Account) {
		return
	}
	s.notifyAll(report{Endings: []Ending{*e}})
}

// announceParts logs the parts that this node holds from now on, and tells all nodes of them.
func (s *Service) announceParts() {
	for _, h := range s.takeNewParts() {
		s.logHeldPart(&h)
		s.notifyAll(report{Endings: h.endings(), HeldPart: true})
	}
}

// holdPart holds a part whose coordinators do.
func (s *Service) holdPart(endings []Ending) {
	h := Hold{Fingerprint: endings[0].Fingerprint, Part: true}
	for _, e := range endings {
		h.Endpoints = append(h.Endpoints, e.Endpoint)
	}
	if s.Table.holdPart(h.Fingerprint, h.Endpoints) {
		s.logHeldPart(&h)
		s.wake()
	}
}

func (s *Service) logHeldPart(h *Hold) {
	s.config.Log.Warn().Str("event", "part_held").Stringer("part", h.Fingerprint).Strs("endpoints", h.Endpoints).
		Time("until", s.HeldUntil(h.Fingerprint)).Send()
}
