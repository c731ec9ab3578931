package peerload

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// domainLoadMethod is the name of the notification that carries the load of a failure domain.
	domainLoadMethod = "node.outer"
	// domainLoadLifetime is how long the load of another failure domain is used. It spans several
	// messages, sent each remoteInterval, some of which may be lost. The load of other domains
	// decides how much is sent there, not which of two engines is selected, so it may be that old.
	domainLoadLifetime = 1500 * time.Millisecond
)

// DomainLoad is the load of a failure domain, which its collectors send to those of other domains:
// what the nodes of the domain have in progress, at endpoints of any domain.
type DomainLoad struct {
	Node        string `json:"node"`
	Domain      string `json:"domain"`
	Incarnation int64  `json:"incarnation"`
	Seq         int64  `json:"seq"`
	Nodes       int    `json:"nodes"` // number of nodes that it includes
	Loads       []byte `json:"loads"` // as encoded by Sums.encodeCoarse
	// Limits are the rate limits that endpoints recently reported to the nodes.
	Limits []Limit `json:"limits,omitempty"`
}

// domainLoad is the latest load received from a failure domain.
type domainLoad struct {
	load DomainLoad
	sums Sums
	at   time.Time
}

// RecordDomainLoad records the load of another failure domain. Of two collectors, the one that covers
// clearly more nodes takes precedence, else the newer message. It fails if the load is invalid.
func (t *Table) RecordDomainLoad(o *DomainLoad, now time.Time) error {
	sums := make(Sums, len(o.Loads)/minCoarseSumBytes)
	if err := sums.addCoarse(o.Loads); err != nil {
		return err
	}
	if o.Node == "" || o.Nodes < 0 {
		return eris.Errorf("check domain load: node %q or its node count %d is invalid", o.Node, o.Nodes)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	latest, exists := t.domainLoads[o.Domain]
	if exists && now.Sub(latest.at) <= domainLoadLifetime {
		last := &latest.load
		if last.Node == o.Node && last.Incarnation == o.Incarnation && o.Seq <= last.Seq {
			return nil
		}
		if last.Node != o.Node && float64(o.Nodes) < coverageRatio*float64(last.Nodes) {
			return nil
		}
	}
	t.domainLoads[o.Domain] = domainLoad{load: *o, sums: sums, at: now}
	return nil
}

// domainLoadSums returns the sums over all other failure domains whose load is current, and the
// names of these domains.
func (t *Table) domainLoadSums(now time.Time) (sums Sums, domains []string) {
	sums = make(Sums)
	for domain, o := range t.domainLoads {
		if now.Sub(o.at) <= domainLoadLifetime {
			sums.merge(o.sums)
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return sums, domains
}

// Domains returns the other failure domains whose nodes are included in Loads. Engines of all
// others look idle, because nobody reports their load.
func (t *Table) Domains(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.bestAggregate(now); c != nil {
		return c.domains
	}
	_, domains := t.domainLoadSums(now)
	return domains
}

// engineKeys returns the keys of those endpoints that are engines.
func engineKeys(members []*fleet.Member) map[loadKey]bool {
	keys := make(map[loadKey]bool)
	for _, m := range members {
		if len(m.Endpoint().Weights) > 0 {
			keys[keyOf(m.ID, 0)] = true
			keys[keyOf(m.ID, startTagOf(m.StartedMs))] = true
		}
	}
	return keys
}

// retain deletes the sums of all keys but the given ones.
func (s Sums) retain(keys map[loadKey]bool) {
	for key := range s {
		if !keys[key] {
			delete(s, key)
		}
	}
}

// merge adds the given sums.
func (s Sums) merge(o Sums) {
	for key, sum := range o {
		s[key] = s[key].plus(sum)
	}
}

// sendDomainLoad sends the load of this failure domain to the collectors of the others, if this
// node is a collector. It returns the bytes of all messages.
//
// Plain services are left out: the nodes of all domains use the same few endpoints, and with loads
// as old as these all of them would choose the same one.
func (e *Exchange) sendDomainLoad(peers *recipients, digest *Digest, members []*fleet.Member) (bytes int) {
	now := e.config.Clock.Now()
	if !e.representsDomain(now) || now.Sub(e.domainLoadSentAt) < remoteInterval {
		return 0
	}
	e.domainLoadSentAt = now
	sums, nodes := e.Table.directLoads(now)
	sums.add(digest.Loads, digest.Starts)
	sums.retain(engineKeys(members))
	return e.config.Conn.Notify(peers.collectors(e.Table, now), domainLoadMethod, &DomainLoad{
		Node: e.config.Node, Domain: e.config.Domain, Incarnation: e.incarnation, Seq: e.seq,
		Nodes: nodes, Loads: sums.encodeCoarse(), Limits: e.Table.domainLimits(digest.Limits, now),
	})
}

// receiveDomainLoad handles the load of another failure domain.
func (e *Exchange) receiveDomainLoad(params json.RawMessage) (any, error) {
	var o DomainLoad
	if err := json.Unmarshal(params, &o); err != nil {
		return nil, eris.Wrap(err, "decode domain load")
	}
	if err := checkLimits(o.Limits); err != nil {
		return nil, err
	}
	now := e.config.Clock.Now()
	e.applyLimits(o.Limits, now)
	return nil, e.Table.RecordDomainLoad(&o, now)
}
