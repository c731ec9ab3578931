package quarantine

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/cherryward/cherryward/coord/rendezvous"
)

// sendReports sends the given reports to the coordinators of each request, together with the known
// endings if the peers have changed. It returns true if there was any report, as reports
// are sent repeatedly.
func (s *Service) sendReports(reports []outgoingReport, peers map[string]netip.AddrPort) (more bool) {
	if s.peersHaveChanged(peers) {
		reports = append(reports, s.knownEndings()...)
	}
	s.lastPeers = peers
	byNode := make(map[string]*report)
	chosen := make(map[Fingerprint][]string)
	for _, o := range reports {
		key := o.coordinatorKey()
		if chosen[key] == nil {
			chosen[key] = s.coordinators(key, peers)
		}
		for _, node := range chosen[key] {
			if node == s.config.Node {
				continue
			}
			r := byNode[node]
			if r == nil {
				r = &report{}
				byNode[node] = r
			}
			r.add(o)
		}
	}
	for node, r := range byNode {
		s.notify([]netip.AddrPort{peers[node]}, r)
	}
	return len(reports) > 0
}

// peersHaveChanged reports whether the other nodes are not those at the last send. It returns false before the first.
func (s *Service) peersHaveChanged(peers map[string]netip.AddrPort) bool {
	return s.lastPeers != nil && !maps.Equal(peers, s.lastPeers)
}

// notify sends a report to nodes, in as many messages as it needs.
func (s *Service) notify(nodes []netip.AddrPort, r *report) {
	for m := range r.messages() {
		s.config.Conn.Notify(nodes, endingsMethod, m)
	}
}

// pendingReports returns the reports that are to be sent now.
func (s *Service) pendingReports() []outgoingReport {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outgoing = slices.DeleteFunc(s.outgoing, func(o outgoingReport) bool { return now.Sub(o.since) > resendFor })
	return slices.Clone(s.outgoing)
}

// knownEndings returns the latest endings of requests that are not held, for nodes that have joined.
// They are also needed on a node that has just started: it may see endings before it has the addresses
// of its peers.
func (s *Service) knownEndings() []outgoingReport {
	var list []outgoingReport
	all := s.Endings()
	for _, e := range all[max(len(all)-maxReportEntries, 0):] {
		list = append(list, outgoingReport{Ending: e})
	}
	return list
}

func (r *report) add(o outgoingReport) {
	if o.Endpoint == "" {
		r.Completed = append(r.Completed, o.Fingerprint)
		return
	}
	r.Endings = append(r.Endings, o.Ending)
}

// coordinators returns the nodes that a request's endings are reported to, in the order in which they
// try to record a hold. This node may be one of them.
func (s *Service) coordinators(f Fingerprint, peers map[string]netip.AddrPort) []string {
	return rendezvous.TopOf(coordinators, f.String(), s.config.Node, maps.Keys(peers))
}
