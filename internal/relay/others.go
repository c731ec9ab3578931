package relay

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// maxOthers is the maximum number of standbys, and of backups, that one read asks.
	maxOthers = 4
	// othersTimeout is the time after which a read asks no further standby or backup. Nodes that are gone
	// don't respond, and the store is to be read soon then.
	othersTimeout = 400 * time.Millisecond
)

// sparesStore reports whether the store is read only if no other node has the topic.
func (t *Topic) sparesStore() bool { return t.SparesStore != nil && t.SparesStore() }

// leavesStale reports whether the store is not read though the readers' copies are too old.
func (t *Topic) leavesStale() bool {
	if t.NeverForStale && (t.SparesStore == nil || t.SparesStore()) {
		return true
	}
	return t.Fallback != nil && time.Since(t.storeFailedAt) < t.Fallback()
}

// readFromOthers reads from the standbys for the readers, and from some backups, after the readers failed with
// cause. If all nodes that responded lack changes since the offset, it fails with follow.ErrCompacted, so that
// all records are read anew from another node: reading them from the store would take a multiple of its rate if
// all nodes of a large system did it. Otherwise it returns the most telling cause.
func (t *Topic) readFromOthers(ctx context.Context, from int64, cause error) (follow.Page, error) {
	began := time.Now()
	for _, others := range t.others() {
		for range min(len(others), maxOthers) {
			if time.Since(began) > othersTimeout {
				break
			}
			page, err := t.readFromCurrent(ctx, follow.SourceBackup, others, from)
			if err == nil {
				return page, nil
			}
			cause = moreTelling(cause, err)
		}
	}
	if errors.Is(cause, ErrUnknown) {
		return follow.Page{}, follow.ErrCompacted
	}
	return follow.Page{}, cause
}

// moreTelling returns the error of two failed reads that tells more of the topic: that a copy is too old rather
// than that it lacks the records, and either rather than that a node didn't respond. a may be nil.
func moreTelling(a, b error) error {
	for _, telling := range []error{errStale, ErrUnknown} {
		if errors.Is(a, telling) {
			return a
		}
		if errors.Is(b, telling) {
			return b
		}
	}
	return b
}

// others returns the groups of nodes that are asked after the readers.
func (t *Topic) others() [][]netip.AddrPort {
	if !t.sparesStore() {
		return nil
	}
	return [][]netip.AddrPort{t.silent.without(callIfSet(t.Standbys)), t.silent.without(t.Backups())}
}

// callIfSet returns the result of list, or nil if it is nil.
func callIfSet(list func() []netip.AddrPort) []netip.AddrPort {
	if list == nil {
		return nil
	}
	return list()
}
