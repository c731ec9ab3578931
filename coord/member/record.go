package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is the state that a core holds about one member.
type record struct {
	id, addr, domain string
	// hash is the member's position on the ring.
	hash        uint64
	incarnation uint64
	seq         uint32
	leaving     bool
	// omitAddr is set when the newest report has the same incarnation as the one
	// before it, so that updates can omit the address.
	omitAddr bool

	listed        bool
	rosterAddr    string
	rosterLeaving bool
	// delisted is set when the member was removed from the roster.
	delisted bool

	dead      bool
	deadSince time.Time
	suspicion *suspicion
	// lastContact is the time of the last message from the member.
	lastContact time.Time
	// pending counts the exchanges with the member that are queued or in
	// flight.
	pending int

	// digest is the record's contribution to the digest of the view.
	digest uint32
	// sendCount counts the transmissions of the queued update, and the copies
	// of it received from peers.
	sendCount int
	// inUpdateQueue and inUrgentUpdates report whether updateQueue and
	// urgentUpdates of the core contain the record.
	inUpdateQueue   bool
	inUrgentUpdates bool
}

// suspicion contains the observers that could not reach a member. It applies to
// one incarnation of the member and one Seq.
type suspicion struct {
	observers []string
	confirmed bool
	// replacements counts the checks requested from other peers, since the last
	// failed probe, because a peer could not be reached.
	replacements int
	// deadline is the time at which the suspicion expires or, if it is
	// confirmed, at which the member becomes Dead.
	deadline time.Time
}

// addObserver adds an observer, unless it is already present or maxObservers is
// reached.
func (s *suspicion) addObserver(observer string) {
	if len(s.observers) < maxObservers && !slices.Contains(s.observers, observer) {
		s.observers = append(s.observers, observer)
	}
}

// confirmed reports whether there is a confirmed suspicion of the member.
func (r *record) confirmed() bool {
	return r.suspicion != nil && r.suspicion.confirmed
}

// olderThan reports whether the record is older than a report with the given
// incarnation and Seq. Seq is compared first; the incarnation breaks ties.
func (r *record) olderThan(incarnation uint64, seq uint32) bool {
	if seq != r.seq {
		return seq > r.seq
	}
	return incarnation > r.incarnation
}

// state returns the state that the view shows for the member.
func (r *record) state() State {
	switch {
	case r.dead:
		return Dead
	case r.leaving || r.rosterLeaving || r.delisted:
		return Leaving
	case r.confirmed():
		return Suspect
	}
	return Alive
}

// member returns the view entry of the member.
func (r *record) member() Member {
	return Member{
		ID:          r.id,
		Addr:        r.addr,
		Domain:      r.domain,
		Incarnation: r.incarnation,
		Seq:         r.seq,
		State:       r.state(),
		Listed:      r.listed,
	}
}

// selfReportEntry returns the member's newest report about itself.
func (r *record) selfReportEntry() Entry {
	e := Entry{ID: r.id, Addr: r.addr, Domain: r.domain, Incarnation: r.incarnation, Seq: r.seq}
	if r.leaving {
		e.State = Leaving
	}
	return e
}

// suspectEntry returns an entry with the suspicion of the member. It omits the
// address, because nodes whose view does not contain the member ignore the entry.
func (r *record) suspectEntry() Entry {
	e := Entry{ID: r.id, Incarnation: r.incarnation, Seq: r.seq, State: Suspect}
	if r.suspicion != nil {
		e.Observers = slices.Clone(r.suspicion.observers)
	}
	return e
}

// deadEntry returns an entry that reports the member as Dead. A receiver does
// not mark the member as dead because of the entry alone: it counts the sender
// as one observer if it already suspects the member, and otherwise probes the
// member.
func (r *record) deadEntry() Entry {
	return Entry{ID: r.id, Incarnation: r.incarnation, Seq: r.seq, State: Dead}
}

// updateEntry returns the entry that gossip spreads about the member.
func (r *record) updateEntry() Entry {
	if r.confirmed() {
		return r.suspectEntry()
	}
	e := r.selfReportEntry()
	if r.omitAddr {
		e.Addr, e.Domain = "", ""
	}
	return e
}

// currentEntry returns an entry with the member's current state: Dead, Suspect
// or its own report.
func (r *record) currentEntry() Entry {
	switch {
	case r.dead:
		return r.deadEntry()
	case r.confirmed():
		return r.suspectEntry()
	}
	return r.selfReportEntry()
}

// bucket returns the index of the digest bucket of the member.
func (r *record) bucket() int {
	return int(r.hash % bucketCount)
}

// computeDigest hashes the fields on which all views should agree. It returns 0
// for a dead member, so that removing the record does not change the digest of
// the view.
func (r *record) computeDigest() uint32 {
	if r.dead {
		return 0
	}
	var b [21]byte
	binary.LittleEndian.PutUint64(b[:8], r.hash)
	binary.LittleEndian.PutUint64(b[8:16], r.incarnation)
	binary.LittleEndian.PutUint32(b[16:20], r.seq)
	if r.leaving {
		b[20] = 1
	}
	return uint32(xxhash.Sum64(b[:]))
}
