package fairqueue

import (
	"fmt"
	"time"
)

// Account identifies the client account that an item is charged to.
type Account struct {
	// ID identifies the client account.
	ID string
	// Class is an index into Config.Classes. The same client account is
	// scheduled separately in each class.
	Class int
	// Weight is the account's share relative to the other accounts of its class. It must be
	// positive.
	Weight float64
}

// Item is a unit of pending work.
type Item[V any] struct {
	Account Account
	// Cost is the estimated cost, for example in tokens. It must be positive.
	Cost float64
	// StartBy is the latest useful start time of the item: the caller's deadline minus the
	// execution time. Zero means no deadline.
	StartBy time.Time
	// Value is set by the caller and is not used by the queue.
	Value V
}

// Handle refers to an accepted item. The zero Handle refers to no item.
type Handle[V any] struct {
	entry *entry[V]
}

// Reason is the reason why an item was rejected.
type Reason int

const (
	// QueueFull means that the account has too many queued items to add another at present.
	// The queue as a whole need not be full.
	QueueFull Reason = iota + 1
	// DeadlineUnmeetable means that the predicted start time is after the deadline.
	DeadlineUnmeetable
)

// String implements fmt.Stringer.
func (r Reason) String() string {
	switch r {
	case QueueFull:
		return "queue full"
	case DeadlineUnmeetable:
		return "deadline cannot be met"
	default:
		return fmt.Sprintf("reason %d", int(r))
	}
}

// RejectedError is returned by Push for a rejected item. The item was not queued or executed;
// it is safe to push it again.
type RejectedError struct {
	Reason Reason
	// Wait is the predicted time until the item would have been popped.
	Wait time.Duration
	// RetryAfter is the time after which an item with the same cost and the same time left until
	// its deadline is expected to be accepted, provided that no other items are pushed until
	// then. It is always positive.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("fairqueue: %s: predicted wait %s, retry after %s", e.Reason, e.Wait, e.RetryAfter)
}

var _ error = (*RejectedError)(nil)
