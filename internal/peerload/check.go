package peerload

import "github.com/rotisserie/eris"

const (
	// maxCount bounds the counts in a digest. It is more than the tokens that any engine holds,
	// and small enough that sums over all nodes are exact.
	maxCount = 1 << 40
	// maxLateMS bounds the reported lateness of fetches, which time out long before.
	maxLateMS = 600_000
	// maxClosedMS bounds how long one message may close engines.
	maxClosedMS = 10_000
	// maxAgeMS bounds the ages of reported versions and limits. Registry entries supersede
	// reported versions within seconds.
	maxAgeMS = 600_000
)

// check returns an error if the digest holds values that no node sends. Invalid loads would make
// an engine look empty or full, and a long closure would block engines for all nodes.
func (d *Digest) check() error {
	if d.Node == "" {
		return eris.New("check digest: node name is missing")
	}
	if d.ForMs < 0 || d.ForMs > maxClosedMS {
		return eris.Errorf("check digest: closure of engines for %d ms is out of range", d.ForMs)
	}
	for _, l := range d.Loads {
		lowest := min(l.Running, l.PendingPromptTokens, l.HeldTokens, l.Failures)
		if lowest < 0 || max(l.Running, l.PendingPromptTokens, l.HeldTokens) > maxCount || l.Failures > percent {
			return eris.Errorf("check digest: load %+v is out of range", l)
		}
	}
	for _, l := range d.Late {
		if l.MS < 0 || l.MS > maxLateMS {
			return eris.Errorf("check digest: lateness of %d ms is out of range", l.MS)
		}
	}
	if err := checkUnlistedWeights(d.UnlistedWeights); err != nil {
		return err
	}
	if err := checkLimits(d.Limits); err != nil {
		return err
	}
	return d.Aggregate.check()
}

// check returns an error if the aggregate holds values that no collector sends. A nil aggregate is
// valid.
func (c *Aggregate) check() error {
	if c == nil {
		return nil
	}
	if err := checkSums(c.Loads, sumFields); err != nil {
		return err
	}
	if err := checkSums(c.DomainLoads, coarseFields); err != nil {
		return err
	}
	if err := checkLimits(c.Limits); err != nil {
		return err
	}
	if c.Nodes < 0 || len(c.Included) != c.Nodes*includedEntryBytes {
		return eris.Errorf("check aggregate: list of %d nodes has %d bytes", c.Nodes, len(c.Included))
	}
	for _, l := range c.Late {
		if l.MS < 0 || l.MS > maxLateMS {
			return eris.Errorf("check aggregate: lateness of %d ms is out of range", l.MS)
		}
	}
	for i := range c.Orders {
		o := &c.Orders[i]
		if o.ForMs < 0 || o.ForMs > maxClosedMS || o.AgeMs < 0 {
			return eris.Errorf("check aggregate: closure of engines for %d ms at an age of %d ms is out of range", o.ForMs, o.AgeMs)
		}
	}
	return checkUnlistedWeights(c.UnlistedWeights)
}

// checkUnlistedWeights checks each of the reported versions.
func checkUnlistedWeights(seen []UnlistedWeights) error {
	for i := range seen {
		if err := seen[i].check(); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if the version is negative or an age is out of range.
func (s *UnlistedWeights) check() error {
	if s.Version < 0 {
		return eris.Errorf("check digest: version %d is negative", s.Version)
	}
	for _, age := range s.AgesMs {
		if age < 0 || age > maxAgeMS {
			return eris.Errorf("check digest: version age of %d ms is out of range", age)
		}
	}
	return nil
}
