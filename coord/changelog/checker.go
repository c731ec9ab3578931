package changelog

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Checker verifies the package's guarantees on recorded states and outcomes, for
// tests:
//   - all nodes have the same state at the same offset;
//   - the applied offset of a node does not decrease, except by a restart;
//   - at most one of the changes based on the same revision is accepted, or, if a
//     delete of the object was proposed, several based on revision 0;
//   - a state at or above the offset of an accepted change contains that change or
//     a later revision of its object, unless a delete of the object was proposed;
//   - a conflict reports a revision other than the one the change was based on.
//
// It keeps all recorded states (as digests) and outcomes in memory. It is safe for
// concurrent use.
type Checker[V any] struct {
	mu             sync.Mutex
	digests        map[int64]uint64        // by offset
	applied        map[string]int64        // by node
	accepted       map[Name]acceptance     // newest per object
	acceptedIDs    map[baseRevision]string // change id by base revision
	deleteProposed map[Name]bool           // objects for which a delete was proposed
}

type acceptance struct{ offset, revision int64 }

type baseRevision struct {
	Name
	revision int64
}

// NewChecker returns an empty checker.
func NewChecker[V any]() *Checker[V] {
	return &Checker[V]{
		digests:        make(map[int64]uint64),
		applied:        make(map[string]int64),
		accepted:       make(map[Name]acceptance),
		acceptedIDs:    make(map[baseRevision]string),
		deleteProposed: make(map[Name]bool),
	}
}

// RecordProposal records a proposed delete; it ignores other changes. Call it before
// the change is proposed.
func (c *Checker[V]) RecordProposal(ch Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch.Op == OpDelete {
		c.deleteProposed[Name{ch.Kind, ch.Key}] = true
	}
}

// CheckOutcome checks the outcome that Propose returned for a change, and records it
// if the change was accepted. It returns an error if a guarantee is violated.
func (c *Checker[V]) CheckOutcome(ch Change, o Outcome) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := Name{ch.Kind, ch.Key}
	if o.Status == Conflict && o.Revision == ch.BasedOn {
		return fmt.Errorf("%v: conflict reports revision %d, the one that the change is based on", name, o.Revision)
	}
	if o.Status != Accepted {
		return nil
	}
	b := baseRevision{name, ch.BasedOn}
	if id, ok := c.acceptedIDs[b]; ok && id != ch.ID && !(ch.BasedOn == 0 && c.deleteProposed[name]) {
		return fmt.Errorf("%v: changes %s and %s were both accepted on revision %d", name, id, ch.ID, ch.BasedOn)
	}
	c.acceptedIDs[b] = ch.ID
	if o.Offset > c.accepted[name].offset {
		c.accepted[name] = acceptance{o.Offset, o.Revision}
	}
	return nil
}

// RecordRestart discards the applied offset of a node, which may be lower after a
// restart.
func (c *Checker[V]) RecordRestart(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.applied, node)
}

// CheckState records the state of a node and checks it against all states and
// outcomes recorded earlier. It returns an error if a guarantee is violated.
func (c *Checker[V]) CheckState(node string, s *Snapshot[V]) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.applied < c.applied[node] {
		return fmt.Errorf("%s went back from offset %d to %d", node, c.applied[node], s.applied)
	}
	c.applied[node] = s.applied
	digest := s.Digest()
	if d, ok := c.digests[s.applied]; ok && d != digest {
		return fmt.Errorf("%s has another state at offset %d than recorded before", node, s.applied)
	}
	c.digests[s.applied] = digest
	return c.checkNothingLost(node, s)
}

// checkNothingLost checks that the state contains the changes accepted up to its
// offset, or later revisions of their objects.
func (c *Checker[V]) checkNothingLost(node string, s *Snapshot[V]) error {
	for name, a := range c.accepted {
		o, ok := s.Get(name.Kind, name.Key)
		switch {
		case a.offset > s.applied || ok && o.Revision >= a.revision:
		case !ok && c.deleteProposed[name]:
		default:
			return fmt.Errorf("%s lost %v: accepted at %d, has revision %d at offset %d", node, name, a.offset, o.Revision, s.applied)
		}
	}
	return nil
}

// Digest returns a hash of all objects with their revisions and values. Equal
// states have equal digests; the iteration order does not matter.
func (s *Snapshot[V]) Digest() uint64 {
	var sum uint64
	for o := range s.All() {
		var d xxhash.Digest
		d.Reset()
		fmt.Fprintf(&d, "%q %q %d %d ", o.Kind, o.Key, o.Revision, o.Created)
		d.Write(o.raw)
		sum += d.Sum64()
	}
	return sum
}
