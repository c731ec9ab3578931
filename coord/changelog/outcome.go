package changelog

import (
	"errors"
	"fmt"
)

// Status is Accepted or the reason why a change was rejected.
type Status string

// Statuses of a change. All nodes determine the same status for a change.
const (
	// Accepted: the change was applied.
	Accepted Status = "accepted"
	// Conflict: the object's revision differs from the one the change is based on.
	Conflict Status = "conflict"
	// Invalid: the schema rejected the change.
	Invalid Status = "invalid"
	// Expired: the change was made before a change whose id is no longer tracked, so
	// it may be a retry of a change that was applied before.
	Expired Status = "expired"
)

// Outcome is the result of a change.
type Outcome struct {
	Status Status `json:"s"`
	// Offset is the offset of the first record of the change; for Expired, of the
	// record that was rejected.
	Offset int64 `json:"o"`
	// Revision is the revision of the object right after that record, 0 if the
	// object does not exist then.
	Revision int64 `json:"r,omitempty"`
	// Reason is the error of the schema that rejected the change.
	Reason string `json:"e,omitempty"`
}

// Err returns nil if the change was accepted, else a *ConflictError, an
// *InvalidError or ErrExpired.
func (o Outcome) Err() error {
	switch o.Status {
	case Accepted:
		return nil
	case Conflict:
		return &ConflictError{Revision: o.Revision}
	case Invalid:
		return &InvalidError{Reason: o.Reason}
	}
	return ErrExpired
}

// ConflictError reports that another change to the object was applied first.
// Proposing the same Change again returns the same error while its id is tracked,
// then ErrExpired. To retry, make a new change from the newest snapshot.
type ConflictError struct {
	// Revision is the revision of the object when the change was rejected, 0 if
	// the object did not exist.
	Revision int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the object is at revision %d", e.Revision)
}

// InvalidError reports that the schema rejected the change.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "invalid change: " + e.Reason }

var (
	// ErrUnknownOutcome reports that the context ended before the change was read
	// back from the log. The change may still be accepted. Proposing the same
	// Change again is safe.
	ErrUnknownOutcome = errors.New("outcome of the change is not known yet")
	// ErrExpired reports that the change was made before a change whose id is no
	// longer tracked, so it is unknown whether it was applied before. Read the
	// object again, then make a new change.
	ErrExpired = errors.New("change is too old to be applied")
	// ErrTooLarge reports that the record would exceed the maxRecord given to
	// NewStore. Nothing was appended.
	ErrTooLarge = errors.New("change exceeds the record size limit")
	// ErrGap reports that records are missing between the applied offset and a
	// segment. Nothing was applied.
	ErrGap = errors.New("records are missing before the segment")
	// ErrNotReady reports that no state has been loaded yet.
	ErrNotReady = errors.New("no state has been loaded yet")
	// ErrCompacted reports that records at the requested offset are no longer
	// retained.
	ErrCompacted = errors.New("records at the requested offset are no longer retained")
)

// maxReasonBytes is the length to which the reason of a rejected change is
// truncated.
const maxReasonBytes = 200

func invalidOutcome(offset, revision int64, err error) Outcome {
	reason := err.Error()
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes]
	}
	return Outcome{Status: Invalid, Offset: offset, Revision: revision, Reason: reason}
}
