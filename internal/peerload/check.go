package peerload

import "github.com/rotisserie/eris"

const (
	// mostCounted bounds what a digest counts, so that sums over all nodes are exact: more
	// tokens than any engine holds.
	mostCounted = 1 << 40
	// mostLateMS bounds the lateness of fetches, which end long before.
	mostLateMS = 600_000
	// mostClosedMS bounds how long one message closes engines.
	mostClosedMS = 10_000
	// mostSeenMS bounds the age of what engines said of their weights, which their entries in the
	// registry outdate within seconds.
	mostSeenMS = 600_000
)

// check returns an error where a digest holds what no node sends: its loads would make an engine
// seem empty or full, and a long closing would take engines from all.
func (d *Digest) check() error {
	if d.Node == "" {
		return eris.New("a digest of no node")
	}
	if d.ForMs < 0 || d.ForMs > mostClosedMS {
		return eris.Errorf("a digest closes engines for %d ms", d.ForMs)
	}
	for _, l := range d.Loads {
		least := min(l.Running, l.Reading, l.Holding, l.Failures)
		if least < 0 || max(l.Running, l.Reading, l.Holding) > mostCounted || l.Failures > percent {
			return eris.Errorf("a digest with the load %+v", l)
		}
	}
	for _, l := range d.Late {
		if l.MS < 0 || l.MS > mostLateMS {
			return eris.Errorf("a digest with fetches %d ms late", l.MS)
		}
	}
	if err := checkSeen(d.Seen); err != nil {
		return err
	}
	if err := checkLimits(d.Limits); err != nil {
		return err
	}
	return d.Collected.check()
}

// check returns an error where a collector tells what can't be, as for a digest.
func (c *Collected) check() error {
	if c == nil {
		return nil
	}
	if err := checkSums(c.Loads, sumFields); err != nil {
		return err
	}
	if err := checkSums(c.Outer, coarseFields); err != nil {
		return err
	}
	if err := checkLimits(c.Limits); err != nil {
		return err
	}
	if c.Nodes < 0 || len(c.Told) != c.Nodes*toldBytes {
		return eris.Errorf("a collector tells of %d nodes in %d bytes", c.Nodes, len(c.Told))
	}
	for _, l := range c.Late {
		if l.MS < 0 || l.MS > mostLateMS {
			return eris.Errorf("a collector tells of fetches %d ms late", l.MS)
		}
	}
	for i := range c.Orders {
		o := &c.Orders[i]
		if o.ForMs < 0 || o.ForMs > mostClosedMS || o.AgeMs < 0 {
			return eris.Errorf("a collector closes engines for %d ms, said %d ms ago", o.ForMs, o.AgeMs)
		}
	}
	return checkSeen(c.Seen)
}

// checkSeen checks each of the statements.
func checkSeen(seen []Seen) error {
	for i := range seen {
		if err := seen[i].check(); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error for a version that no engine has, or one that was named in the future.
func (s *Seen) check() error {
	if s.Version < 0 {
		return eris.Errorf("a digest with version %d", s.Version)
	}
	for _, age := range s.AgesMs {
		if age < 0 || age > mostSeenMS {
			return eris.Errorf("a digest with a version seen %d ms ago", age)
		}
	}
	return nil
}
