package quarantine

import (
	"net/netip"
	"slices"
	"time"
)

// retellInterval is the time between two sends of a hold that has no record, after those of its endings.
const retellInterval = 5 * time.Second

// retellHolds tells other nodes the holds that have no record, since the node that knows of one may end before the store
// takes it, and others may have missed the endings. Those that have joined are told at once.
func (s *Service) retellHolds(peers map[string]netip.AddrPort) {
	joined := s.peersHaveChanged(peers)
	now, toldAt := s.config.Now(), make(map[Fingerprint]time.Time)
	for _, h := range s.Holds() {
		if h.Recorded || !now.Before(h.Until) {
			continue
		}
		at, told := s.toldAt[h.Fingerprint]
		if !told {
			at = h.Since
		}
		if joined || now.Sub(at) >= retellInterval {
			s.retell(&h, peers, !told)
			at, told = now, true
		}
		if told {
			toldAt[h.Fingerprint] = at
		}
	}
	s.toldAt = toldAt
}

// retell tells a hold to its coordinators if this node is one of them. In a large system, two of these tell all nodes the
// first time, so that any node can tell one that starts.
func (s *Service) retell(h *Hold, peers map[string]netip.AddrPort, first bool) {
	r := report{Endings: h.endings(), HeldPart: h.Part}
	if first && s.announces(h.Fingerprint) {
		s.notifyAll(r)
		return
	}
	nodes := s.coordinators(h.Fingerprint, peers)
	if !slices.Contains(nodes, s.config.Node) {
		return
	}
	var addrs []netip.AddrPort
	for _, node := range nodes {
		if node != s.config.Node {
			addrs = append(addrs, peers[node])
		}
	}
	s.notify(addrs, &r)
}
