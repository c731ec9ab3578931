package relay

import (
	"errors"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// renewalTimeout is how long a node that spares the store waits, once it knows that all records must be read anew,
	// for the nodes that read the store for others. They need a read of all records.
	renewalTimeout = time.Second
	// maxRenewalStagger spreads the nodes that none has given the records.
	maxRenewalStagger = 4 * time.Second
)

// errEarlierEra is returned for a copy of an earlier era of the store than the latest known one. Such a copy is too
// old, whatever its age.
var errEarlierEra = eris.Wrap(errStale, "copy is of an earlier era of the store")

// errNoNewer is returned for a copy that ends no later than this node's own, where all records are needed anew: with it,
// the node could only ask for them again.
var errNoNewer = eris.Wrap(errStale, "copy ends no later than this node's own")

// OutdatedError is the error of a request to a copy of an earlier era than the latest known one.
type OutdatedError struct {
	Era int64 // the latest known one
}

// Error implements error.
func (e *OutdatedError) Error() string { return "relay: " + errEarlierEra.Error() }

// noAge is the age in the response of a copy that is of an earlier era, in microseconds. Nodes of builds that don't
// know of eras find it too old.
const noAge = math.MaxInt64

// checkEra fails with an *OutdatedError if the copy is of an earlier era than the latest known one, or than that of an
// offset that another node has read up to. c.mu is held.
func (c *Copy) checkEra(from int64) error {
	c.Eras.Hear(follow.EraOf(from))
	if latest := max(c.Eras.Latest(), follow.EraOf(from)); follow.EraOf(c.next) < latest {
		return &OutdatedError{Era: latest}
	}
	return nil
}

// era returns the latest known era.
func (t *Topic) era() int64 { return t.Eras.Latest() }

// checkEra checks the era of another node's response: the one that its copy ends in, or the one that it stated
// because its copy is of an earlier one.
func (t *Topic) checkEra(next, stated, from int64) error {
	t.Eras.Hear(max(follow.EraOf(next), stated))
	if stated > 0 || follow.EraOf(next) < max(t.era(), follow.EraOf(from)) {
		return errEarlierEra
	}
	return nil
}

// mayReadAll reports whether this node may read all records from the store. A node that spares the store leaves that to
// the nodes that read the store for others, if all nodes need the records anew: hundreds of nodes that all read them at
// once would use up its rate. cause is why other nodes didn't give them: if their copies are of no use yet, a topic that is
// never read from the store for that is waited for.
func (t *Topic) mayReadAll(cause error) bool {
	if !t.MayReadAll() || t.NeverForStale && t.sparesStore() && errors.Is(cause, errStale) {
		return false
	}
	return !t.sparesStore() || t.renewalKnownFor() >= t.renewalWait()
}

// renewalKnownFor is the time since this node knows that all nodes need the records anew: of a later era, or as the store
// has no changes since the offset of this node's copy.
func (t *Topic) renewalKnownFor() time.Duration {
	known := time.Since(t.compactedAt)
	if t.era() > 0 {
		known = min(known, t.Eras.KnownFor())
	}
	return known
}

// renewalWait is how long this node waits for other nodes to have all records anew.
func (t *Topic) renewalWait() time.Duration {
	return renewalTimeout + time.Duration(t.Preference%uint64(maxRenewalStagger))
}

// outdatedEra returns the era that a request failed with because the copy is of an earlier one.
func outdatedEra(err error) (era int64, ok bool) {
	var outdated *OutdatedError
	if !errors.As(err, &outdated) {
		return 0, false
	}
	return outdated.Era, true
}
