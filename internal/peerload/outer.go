package peerload

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/fleet"
)

const (
	// outerMethod is the name of the notification.
	outerMethod = "node.outer"
	// outerFresh is how long a failure domain's load is used elsewhere: some messages, each
	// farSpacing, may be lost. Load of other domains decides how much goes there, not which
	// of two engines.
	outerFresh = 1500 * time.Millisecond
)

// OuterLoad is what a collector tells those of other failure domains: what the nodes of its own
// have under way, at whatever endpoints.
type OuterLoad struct {
	Node        string `json:"node"`
	Domain      string `json:"domain"`
	Incarnation int64  `json:"incarnation"`
	Seq         int64  `json:"seq"`
	Nodes       int    `json:"nodes"` // that it hears
	Loads       []byte `json:"loads"` // as Sums.encodeCoarse writes them
	// Limits are what endpoints told the nodes of limits lately.
	Limits []Limit `json:"limits,omitempty"`
}

// heardOuter is the newest load of a failure domain.
type heardOuter struct {
	load OuterLoad
	sums Sums
	at   time.Time
}

// TakeOuter notes the load of another failure domain. Of two collectors the one that hears clearly
// more nodes counts, else the newer word.
func (t *Table) TakeOuter(o *OuterLoad, now time.Time) error {
	sums := make(Sums, len(o.Loads)/coarseLeast)
	if err := sums.addCoarse(o.Loads); err != nil {
		return err
	}
	if o.Node == "" || o.Nodes < 0 {
		return eris.Errorf("a failure domain's load of node %q, which hears %d", o.Node, o.Nodes)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, heard := t.outers[o.Domain]
	if heard && now.Sub(known.at) <= outerFresh {
		last := &known.load
		if last.Node == o.Node && last.Incarnation == o.Incarnation && o.Seq <= last.Seq {
			return nil
		}
		if last.Node != o.Node && float64(o.Nodes) < clearMajority*float64(last.Nodes) {
			return nil
		}
	}
	t.outers[o.Domain] = heardOuter{load: *o, sums: sums, at: now}
	return nil
}

// outer returns the sums of all other failure domains of which load was told lately, and these.
func (t *Table) outer(now time.Time) (sums Sums, domains []string) {
	sums = make(Sums)
	for domain, o := range t.outers {
		if now.Sub(o.at) <= outerFresh {
			sums.merge(o.sums)
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return sums, domains
}

// Domains returns the other failure domains whose nodes' load Loads tells of. The engines of
// others look empty, as nobody tells what they have under way.
func (t *Table) Domains(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.collected(now); c != nil {
		return c.domains
	}
	_, domains := t.outer(now)
	return domains
}

// engineKeys returns the keys of the engines among the endpoints.
func engineKeys(members []*fleet.Member) map[loadKey]bool {
	keys := make(map[loadKey]bool)
	for _, m := range members {
		if len(m.Endpoint().Weights) > 0 {
			keys[keyOf(m.ID, 0)] = true
			keys[keyOf(m.ID, startOf(m.Born))] = true
		}
	}
	return keys
}

// keep drops the sums of all but some keys.
func (s Sums) keep(keys map[loadKey]bool) {
	for key := range s {
		if !keys[key] {
			delete(s, key)
		}
	}
}

// merge adds other sums.
func (s Sums) merge(o Sums) {
	for key, sum := range o {
		s[key] = s[key].plus(sum)
	}
}

// sendOuter tells the collectors of other failure domains what this one has under way, where
// this node collects. It returns the bytes of all messages.
//
// Plain services are left out: all nodes of all domains use the same few endpoints, and with
// old load all would choose the same one.
func (e *Exchange) sendOuter(peers *audience, digest *Digest, members []*fleet.Member) (bytes int) {
	now := e.config.Clock.Now()
	if !e.speaks(now) || now.Sub(e.toldOuter) < farSpacing {
		return 0
	}
	e.toldOuter = now
	sums, nodes := e.Table.direct(now)
	sums.take(digest.Loads, digest.Starts)
	sums.keep(engineKeys(members))
	return e.config.Conn.Notify(peers.collectors(e.Table, now), outerMethod, &OuterLoad{
		Node: e.config.Node, Domain: e.config.Domain, Incarnation: e.incarnation, Seq: e.seq,
		Nodes: nodes, Loads: sums.encodeCoarse(), Limits: e.Table.domainLimits(digest.Limits, now),
	})
}

// takeOuter notes what a collector of another failure domain tells.
func (e *Exchange) takeOuter(params json.RawMessage) (any, error) {
	var o OuterLoad
	if err := json.Unmarshal(params, &o); err != nil {
		return nil, eris.Wrap(err, "decode a failure domain's load")
	}
	if err := checkLimits(o.Limits); err != nil {
		return nil, err
	}
	now := e.config.Clock.Now()
	e.learnLimits(o.Limits, now)
	return nil, e.Table.TakeOuter(&o, now)
}
