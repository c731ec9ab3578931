package peerload

import (
	"encoding/json"
	"errors"
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

// DomainLoad is the load of a failure domain, which its collectors send to the representatives of
// other domains: what the nodes of the domain have in progress, at endpoints of any domain.
type DomainLoad struct {
	Node        string `json:"node"`
	Domain      string `json:"domain"`
	Incarnation int64  `json:"incarnation"`
	Seq         int64  `json:"seq"`
	Nodes       int    `json:"nodes"` // number of nodes that it includes
	Loads       []byte `json:"loads"` // as encoded by Sums.encodeCoarse
	// Limits are the rate limits that endpoints recently reported to the nodes.
	Limits []Limit `json:"limits,omitempty"`
	// Brittle are the services whose endpoints recently reported to the nodes that they are brittle.
	Brittle []Brittle `json:"brittle,omitempty"`
}

// domainLoad is the latest load received from a failure domain.
type domainLoad struct {
	load DomainLoad
	sums Sums
	at   time.Time
}

// RecordDomainLoad records the load of another failure domain. Of two collectors, the one that
// covers clearly more nodes takes precedence, else the newer message. It fails if the load is
// invalid.
func (t *Table) RecordDomainLoad(received *DomainLoad, now time.Time) error {
	sums := make(Sums, len(received.Loads)/minCoarseSumBytes)
	if err := sums.addCoarse(received.Loads); err != nil {
		return err
	}
	if received.Node == "" || received.Nodes < 0 {
		return eris.Errorf("check domain load: node %q or its node count %d is invalid", received.Node, received.Nodes)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	latest, exists := t.domainLoads[received.Domain]
	if exists && now.Sub(latest.at) <= domainLoadLifetime {
		last := &latest.load
		if last.Node == received.Node && last.Incarnation == received.Incarnation && received.Seq <= last.Seq {
			return nil
		}
		if last.Node != received.Node && float64(received.Nodes) < coverageRatio*float64(last.Nodes) {
			return nil
		}
	}
	t.changes++
	t.domainLoads[received.Domain] = domainLoad{load: *received, sums: sums, at: now}
	return nil
}

// isLatestDomainLoad reports whether no later load of the same collector was received before. The limits
// in others are ignored, as those in digests that are not the latest.
func (t *Table) isLatestDomainLoad(load *DomainLoad, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.domainLoadOrder.add(load.Node, messageOrder{load.Incarnation, load.Seq, now}, domainLoadLifetime)
}

// domainLoadSums returns the sums over all other failure domains whose load is current, and the
// names of these domains.
func (t *Table) domainLoadSums(now time.Time) (sums Sums, domains []string) {
	sums = make(Sums)
	for domain, received := range t.domainLoads {
		if now.Sub(received.at) <= domainLoadLifetime {
			sums.merge(received.sums)
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return sums, domains
}

// Domains returns the other failure domains whose nodes are included in Loads. Engines of all
// others look idle, because their load isn't reported.
func (t *Table) Domains(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if best := t.bestAggregate(now); best != nil {
		return best.domains
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
func (s Sums) merge(other Sums) {
	for key, sum := range other {
		s[key] = s[key].plus(sum)
	}
}

// sendDomainLoad sends the load of this failure domain to the representatives of the others, if
// this node may represent it. It returns the bytes of all messages.
//
// Endpoints without weights are left out: the nodes of all domains use the same few endpoints, and
// with loads as old as these all of them would choose the same one.
func (e *Exchange) sendDomainLoad(peers *recipients, digest *Digest, members []*fleet.Member) (bytes int) {
	now := e.config.Clock.Now()
	if !e.mayRepresentDomain(now) || now.Sub(e.domainLoadSentAt) < remoteInterval {
		return 0
	}
	e.domainLoadSentAt = now
	load := e.Table.CollectDomainLoad(digest, members, now)
	load.Node, load.Domain, load.Incarnation, load.Seq = e.config.Node, e.config.Domain, e.incarnation, e.seq.Load()
	return e.config.Conn.Notify(peers.representatives(e.Table, now), domainLoadMethod, load)
}

// CollectDomainLoad returns the load that the peers' current digests and this node's own digest
// report for the engines among the members. The caller sets the sender's fields.
func (t *Table) CollectDomainLoad(own *Digest, members []*fleet.Member, now time.Time) *DomainLoad {
	sums, nodes := t.directLoads(now)
	sums.add(own.Loads, own.Starts)
	sums.retain(engineKeys(members))
	return &DomainLoad{
		Nodes: nodes, Loads: sums.encodeCoarse(), Limits: t.domainLimits(own.Limits, now), Brittle: t.domainBrittle(own.Brittle, now),
	}
}

// receiveDomainLoad handles the load of another failure domain.
func (e *Exchange) receiveDomainLoad(params json.RawMessage) (any, error) {
	var load DomainLoad
	if err := json.Unmarshal(params, &load); err != nil {
		return nil, eris.Wrap(err, "decode domain load")
	}
	if err := errors.Join(checkLimits(load.Limits), checkBrittle(load.Brittle)); err != nil {
		return nil, err
	}
	now := e.config.Clock.Now()
	if e.Table.isLatestDomainLoad(&load, now) {
		e.applyLimits(load.Limits, now)
	}
	e.applyBrittle(load.Brittle, now)
	return nil, e.Table.RecordDomainLoad(&load, now)
}
