package changelog

import (
	"context"
	"time"
)

// Notice is what one node tells another: new records, and how fresh its word is.
// As a heartbeat or as the answer to a pull it may hold no records.
type Notice struct {
	// Sender can be asked for records that the receiver lacks.
	Sender string `json:"sender"`
	// Until names the member before which the receiver's share of the members
	// ends, in the order that Seed gives.
	Until string `json:"until,omitempty"`
	Seed  uint64 `json:"seed,omitempty"`
	// Known is the newest offset that the sender has heard of.
	Known int64 `json:"known"`
	// Age is how long ago the log was last read by the sender or by one whose
	// word reached it, in nanoseconds; negative if it knows of no read.
	Age     time.Duration `json:"age"`
	Segment Segment       `json:"segment"`
}

// older returns the notice as it is after being held for a time: its word on the
// log has aged, if it has any.
func (n Notice) older(by time.Duration) Notice {
	if n.Age >= 0 {
		n.Age += by
	}
	return n
}

// Peers reaches the other nodes. Implementations set their own timeouts under
// the context's. All calls may be retried.
type Peers interface {
	// Members returns the names of the live nodes, this one included, sorted. It
	// may be wrong for a while: that costs messages and time only.
	Members() []string
	// Notify hands a notice to a node, which calls Follower.Handle.
	Notify(ctx context.Context, to string, n Notice) error
	// Records asks a node for its records from an offset on; it answers by
	// Follower.Records.
	Records(ctx context.Context, to string, from int64) (Notice, error)
	// Snapshot asks a node for its whole state; it answers by Follower.Image.
	Snapshot(ctx context.Context, to string) ([]byte, error)
}
