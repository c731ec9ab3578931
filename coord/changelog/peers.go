package changelog

import (
	"context"
	"time"
)

// Notice is a message between nodes: new records, and the age of the sender's
// information. Heartbeats have no records, nor do notices whose records exceed
// maxPullBytes or were already applied when the notice was forwarded; the response
// to a pull may have none.
type Notice struct {
	// Sender is the node from which the receiver can pull missing records.
	Sender string `json:"sender"`
	// Until is the member at which the receiver's share of the members ends,
	// exclusively, in the order that Seed determines.
	Until string `json:"until,omitempty"`
	// Seed determines the order of the members, and so the tree along which the
	// notice is forwarded.
	Seed uint64 `json:"seed,omitempty"`
	// NewestKnown is the newest offset reported by the log or a peer to the sender.
	NewestKnown int64 `json:"known"`
	// LogAge is the time since the last read of the log by any node, as far as reported
	// to the sender, in nanoseconds; negative if none was reported.
	LogAge  time.Duration `json:"age"`
	Segment Segment       `json:"segment"`
}

// withAddedAge returns the notice with d added to its age, unless the age is
// unknown.
func (n Notice) withAddedAge(d time.Duration) Notice {
	if n.LogAge >= 0 {
		n.LogAge += d
	}
	return n
}

// Peers sends messages to the other nodes. Implementations set their own timeouts,
// shorter than the context's. The receiver must accept repeated calls.
type Peers interface {
	// Members returns the sorted names of the live nodes, including this one. The
	// list may be temporarily wrong, which costs only extra messages and delay.
	Members() []string
	// Notify sends a notice to a node, which calls Follower.Handle.
	Notify(ctx context.Context, to string, n Notice) error
	// Records requests the records at and above an offset from a node, which
	// responds with the result of Follower.Records.
	Records(ctx context.Context, to string, from int64) (Notice, error)
	// Image requests the complete state of a node, which responds with the
	// result of Follower.Image.
	Image(ctx context.Context, to string) ([]byte, error)
}
