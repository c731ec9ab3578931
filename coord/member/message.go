package member

import "math"

// Limits of a message. The receiver discards entries that exceed them.
const (
	maxIDLen     = 64
	maxAddrLen   = 128
	maxDomainLen = 64
	// maxUpdates limits the updates from the queues in one message.
	maxUpdates = 12
	// maxSyncEntries limits the records that one message transfers for a digest
	// comparison.
	maxSyncEntries = 48
	// maxEntries limits the entries of one message that a receiver processes.
	// The additional 4 leave room for entries about the receiver and about the
	// member to check.
	maxEntries = maxUpdates + maxSyncEntries + 4
	// bucketCount is the number of buckets into which a view is divided. Each
	// bucket has its own digest.
	bucketCount = 64
	// maxObservers limits the observers in one Suspect entry.
	maxObservers = 2
	// maxSeq is the largest valid Seq. It prevents an overflow when a node
	// raises its Seq above that of an entry.
	maxSeq = math.MaxUint32 / 2
)

// Message is a request or a response. Both have the same format.
type Message struct {
	// From is the sender's entry about itself.
	From Entry `json:"f"`
	// Entries describe other members, or the receiver.
	Entries []Entry `json:"e,omitempty"`
	// Digest is the digest of the sender's view.
	Digest uint32 `json:"g"`
	// Check is the ID of a member that the receiver is requested to probe, if
	// any.
	Check string `json:"c,omitempty"`
	// BucketDigests contains the digests of all bucketCount buckets, if the sender
	// requests a comparison.
	BucketDigests []uint32 `json:"b,omitempty"`
	// DifferingBuckets lists the indices of the buckets whose digests differ, in
	// the response to a request with BucketDigests.
	DifferingBuckets []int `json:"w,omitempty"`
}

// Entry is a report about one member.
type Entry struct {
	ID          string `json:"i"`
	Addr        string `json:"a,omitempty"`
	Domain      string `json:"d,omitempty"`
	Incarnation uint64 `json:"n,omitempty"`
	Seq         uint32 `json:"s,omitempty"`
	State       State  `json:"t,omitempty"`
	// Observers are the IDs of the nodes that could not reach a Suspect member.
	Observers []string `json:"o,omitempty"`
}

// valid reports whether the entry is within the limits.
func (e *Entry) valid() bool {
	if e.ID == "" || len(e.ID) > maxIDLen || len(e.Addr) > maxAddrLen || len(e.Domain) > maxDomainLen {
		return false
	}
	if e.Seq > maxSeq || e.State > Dead || len(e.Observers) > maxObservers {
		return false
	}
	for _, o := range e.Observers {
		if o == "" || len(o) > maxIDLen {
			return false
		}
	}
	return true
}
