package relay

import (
	"errors"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// eraTimeout is how long a node that spares the store waits, once it knows of a later era, for the nodes that
	// read the store for others. They need a read of all records.
	eraTimeout = time.Second
	// maxEraStagger spreads the nodes that none has given the records of the era.
	maxEraStagger = 4 * time.Second
)

// errEarlierEra is returned for a copy of an earlier era of the store than the latest known one. Whatever its age, such a copy
// is too old.
var errEarlierEra = eris.Wrap(errStale, "copy is of an earlier era of the store")

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

// mayReadAll reports whether this node may read all records from the store. A node that spares the store leaves a
// new era to the nodes that read the store for others: hundreds of nodes that all read it at once would use up its
// rate.
func (t *Topic) mayReadAll() bool {
	if !t.MayReadAll() {
		return false
	}
	return t.era() == 0 || !t.sparesStore() || t.Eras.KnownFor() >= t.eraWait()
}

// eraWait is how long this node waits for other nodes to have the records of a new era.
func (t *Topic) eraWait() time.Duration {
	return eraTimeout + time.Duration(t.Preference%uint64(maxEraStagger))
}

// outdatedEra returns the era that a request failed with because the copy is of an earlier one.
func outdatedEra(err error) (era int64, ok bool) {
	var outdated *OutdatedError
	if !errors.As(err, &outdated) {
		return 0, false
	}
	return outdated.Era, true
}
