package fleetmodel

import (
	"slices"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/peerload"
)

// reportSteps is the number of equal steps of a load report's largest age in a large system: until
// the node sends its digest, until the collector sends its aggregate, and until that is received.
// Reports are thus between a third of ReportAge and all of it old, as on the first deployment of
// docs/design/contended-engines.md, where they are 40 to 120 ms old.
const reportSteps = 3

// Notices describes the notices of placements that nodes send to the other nodes of their failure
// domain.
type Notices struct {
	Delay time.Duration // until a notice is received; 0 for no notices
	Loss  float64       // share of the notices that are lost, for each receiver
}

// maxDrain is how long reports are sent after the last caller's arrival at most. Callers take less than
// their deadlines of seconds, except at engines that are slow by a large factor.
const maxDrain = time.Minute

// every runs a function at first and then at each interval, until all callers are done.
func (w *World) every(first, interval time.Duration, run func()) {
	w.after(first, func() {
		if w.elapsed() > w.Length && w.open == 0 || w.elapsed() > w.Length+maxDrain {
			return
		}
		run()
		w.every(interval, interval, run)
	})
}

// scheduleReports schedules the load reports of all nodes, spread evenly over the interval.
func (w *World) scheduleReports() {
	if w.Nodes <= 1 || w.ReportAge <= 0 {
		return
	}
	step := w.ReportAge / reportSteps
	interval := step
	if !w.large() {
		interval = w.ReportAge - step // there is no collector that adds to the age
	}
	for i, n := range w.nodes {
		w.every(time.Duration(i)*interval/time.Duration(len(w.nodes)), interval, n.report)
	}
	if !w.large() {
		return
	}
	for i, d := range w.domains {
		w.every(step+time.Duration(i)*step/time.Duration(len(w.domains)), step, func() {
			aggregate := d.collect(w.now)
			w.after(step, func() { d.deliver(&aggregate, d.nodes, w.now) })
		})
		if w.RemoteReportAge > 0 {
			remoteStep := w.RemoteReportAge / reportSteps
			w.every(remoteStep, w.RemoteReportAge-remoteStep, func() { w.reportDomain(d, remoteStep) })
		}
	}
}

// digest returns the node's next digest, and records it as its own.
func (n *node) digest() peerload.Digest {
	n.seq++
	d := peerload.Digest{Node: n.name, Incarnation: 1, Seq: n.seq}
	n.busy = slices.DeleteFunc(n.busy, func(m *fleet.Member) bool { return m.Load.Running() == 0 })
	d.Loads = make([]peerload.Load, len(n.busy))
	for i, m := range n.busy {
		d.Loads[i] = peerload.Load{Endpoint: m.ID, Running: m.Load.Running(), PendingPromptTokens: m.Load.PendingPromptTokens(), HeldTokens: m.Load.HeldTokens()}
	}
	n.table.RecordOwnDigest(&d, false)
	return d
}

// report sends the node's digest to its collector, or to all nodes of a small system.
func (n *node) report() {
	w, d := n.world, n.digest()
	if w.large() {
		n.domain.collector.Record(d, w.now)
		return
	}
	w.after(w.ReportAge/reportSteps, func() {
		for _, other := range w.nodes {
			if other != n {
				other.table.Record(d, w.now)
			}
		}
	})
}

// collect returns the collector's digest with an aggregate of all nodes of the failure domain.
func (d *failureDomain) collect(now time.Time) peerload.Digest {
	d.seq++
	return peerload.Digest{Node: "collector-" + d.name, Incarnation: 1, Seq: d.seq, Aggregate: d.collector.Collect(now)}
}

// deliver records a collector's digest at the given nodes.
func (d *failureDomain) deliver(aggregate *peerload.Digest, nodes []*node, now time.Time) {
	for _, n := range nodes {
		n.table.Record(*aggregate, now)
	}
}

// reportDomain sends the load of a failure domain to the collectors of the others.
func (w *World) reportDomain(d *failureDomain, delay time.Duration) {
	load := d.collector.CollectDomainLoad(&peerload.Digest{}, d.nodes[0].fleet.Members(service), w.now)
	d.seq++
	load.Node, load.Domain, load.Incarnation, load.Seq = "collector-"+d.name, d.name, 1, d.seq
	w.after(delay, func() {
		for _, other := range w.domains {
			if other == d {
				continue
			}
			if err := other.collector.RecordDomainLoad(load, w.now); err != nil {
				panic(err) // unreachable: the load was encoded by the same code
			}
		}
	})
}

// notify sends a notice of the prompt just placed by the node to the other nodes of its failure
// domain, or of a small system. Notices are modeled as an earlier load report of the node. In a
// large system this reaches the receivers as an aggregate, which also makes up for lost notices
// before it.
func (n *node) notify() {
	w := n.world
	if w.Notices.Delay <= 0 || w.Nodes <= 1 || w.ReportAge <= 0 {
		return
	}
	nodes := w.nodes
	if w.large() {
		nodes = n.domain.nodes
	}
	var receivers []*node
	for _, other := range nodes {
		if other != n && w.lossDraw.Float64() >= w.Notices.Loss {
			receivers = append(receivers, other)
		}
	}
	d := n.digest()
	w.after(w.Notices.Delay, func() {
		if w.large() {
			n.domain.collector.Record(d, w.now)
			d = n.domain.collect(w.now)
		}
		n.domain.deliver(&d, receivers, w.now)
	})
}
