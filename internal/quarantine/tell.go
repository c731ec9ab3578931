package quarantine

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/cherryward/cherryward/coord/rendezvous"
)

// sendNews tells each assessor what is due and what it is to know if it came, and reports whether
// that is to be told again.
func (s *Service) sendNews(told []telling, peers map[string]netip.AddrPort) (more bool) {
	if s.peers != nil && !maps.Equal(peers, s.peers) {
		told = append(told, s.known()...)
	}
	s.peers = peers
	byNode := make(map[string]*news)
	for _, t := range told {
		for _, node := range s.assessors(t.Fingerprint, peers) {
			if node == s.config.Node {
				continue
			}
			n := byNode[node]
			if n == nil {
				n = &news{}
				byNode[node] = n
			}
			n.add(t)
		}
	}
	for node, n := range byNode {
		for m := range n.messages() {
			s.config.Conn.Notify([]netip.AddrPort{peers[node]}, method, m)
		}
	}
	return len(told) > 0
}

// due returns what is to be told now.
func (s *Service) due() []telling {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = slices.DeleteFunc(s.told, func(t telling) bool { return now.Sub(t.since) > tellFor })
	return slices.Clone(s.told)
}

// known returns the newest endings under requests that are not held, for nodes that came: a node that
// has just started sees endings before it knows whom to tell.
func (s *Service) known() []telling {
	var list []telling
	all := s.Endings()
	for _, e := range all[max(len(all)-maxNews, 0):] {
		list = append(list, telling{Ending: e})
	}
	return list
}

func (n *news) add(t telling) {
	if t.Endpoint == "" {
		n.Served = append(n.Served, t.Fingerprint)
		return
	}
	n.Endings = append(n.Endings, t.Ending)
}

// assessors returns the nodes that are told of a request, this one perhaps included, in the order
// in which they record it.
func (s *Service) assessors(f Fingerprint, peers map[string]netip.AddrPort) []string {
	nodes := make([]rendezvous.Node, 0, len(peers)+1)
	nodes = append(nodes, rendezvous.Node{ID: s.config.Node, Weight: 1})
	for name := range peers {
		nodes = append(nodes, rendezvous.Node{ID: name, Weight: 1})
	}
	return rendezvous.Top(assessors, f.String(), nodes)
}
