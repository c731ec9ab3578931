package peerload

import (
	"errors"

	"github.com/rotisserie/eris"
)

const (
	// maxCount bounds the counts in a digest. It is more than the tokens that any engine holds,
	// and small enough that sums over all nodes are exact.
	maxCount = 1 << 40
	// maxLateMs bounds the reported lateness of fetches. A fetch times out long before that.
	maxLateMs = 600_000
	// maxClosedMs bounds how long one message may close engines.
	maxClosedMs = 10_000
	// maxAgeMs bounds the ages of reported versions and limits. Registry entries supersede
	// reported versions within seconds.
	maxAgeMs = 600_000
)

// check returns an error if the digest holds values that no node sends. Invalid loads would make
// an engine look empty or full, and a long closure would block engines for all nodes.
func (d *Digest) check() error {
	if d.Node == "" {
		return eris.New("check digest: node name is missing")
	}
	if d.ForMs < 0 || d.ForMs > maxClosedMs {
		return eris.Errorf("check digest: closure of engines for %d ms is out of range", d.ForMs)
	}
	for _, l := range d.Loads {
		lowest := min(l.Running, l.PendingPromptTokens, l.HeldTokens, l.Failures)
		if lowest < 0 || max(l.Running, l.PendingPromptTokens, l.HeldTokens) > maxCount || l.Failures > percent {
			return eris.Errorf("check digest: load %+v is out of range", l)
		}
	}
	for _, l := range d.Late {
		if l.MS < 0 || l.MS > maxLateMs {
			return eris.Errorf("check digest: lateness of %d ms is out of range", l.MS)
		}
	}
	if err := checkUnlistedWeights(d.UnlistedWeights); err != nil {
		return err
	}
	if err := errors.Join(checkLimits(d.Limits), checkSlow(d.Slow), checkBrittle(d.Brittle)); err != nil {
		return err
	}
	return d.Aggregate.check()
}

// check returns an error if the aggregate holds values that no collector sends. A nil aggregate is
// valid.
func (a *Aggregate) check() error {
	if a == nil {
		return nil
	}
	if err := checkSums(a.Loads, sumFields); err != nil {
		return err
	}
	if err := checkSums(a.DomainLoads, coarseFields); err != nil {
		return err
	}
	if err := errors.Join(checkLimits(a.Limits), checkSlow(a.Slow), checkBrittle(a.Brittle)); err != nil {
		return err
	}
	if a.Nodes < 0 || len(a.Included) != a.Nodes*includedEntryBytes {
		return eris.Errorf("check aggregate: list of %d nodes has %d bytes", a.Nodes, len(a.Included))
	}
	for _, l := range a.Late {
		if l.MS < 0 || l.MS > maxLateMs {
			return eris.Errorf("check aggregate: lateness of %d ms is out of range", l.MS)
		}
	}
	for i := range a.Orders {
		o := &a.Orders[i]
		if o.ForMs < 0 || o.ForMs > maxClosedMs || o.AgeMs < 0 {
			return eris.Errorf("check aggregate: closure of engines for %d ms at an age of %d ms is out of range", o.ForMs, o.AgeMs)
		}
	}
	return checkUnlistedWeights(a.UnlistedWeights)
}

// checkUnlistedWeights checks each of the reported versions.
func checkUnlistedWeights(reported []UnlistedWeights) error {
	for i := range reported {
		if err := reported[i].check(); err != nil {
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
		if age < 0 || age > maxAgeMs {
			return eris.Errorf("check digest: version age of %d ms is out of range", age)
		}
	}
	return nil
}
