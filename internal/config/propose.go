package config

import (
	"context"
	"encoding/json"
)

// Change is one write as it is appended to the log.
type Change struct {
	// ID is unique to the change; a retry with the same ID is not applied again.
	ID   string
	Kind Kind
	Name string
	// BasedOn is the revision of the object that the change is based on; 0 creates
	// the object.
	BasedOn int64
	// Delete deletes the object; Value is then empty.
	Delete bool
	Value  json.RawMessage
}

// Outcome is the result of an accepted change.
type Outcome struct {
	// Revision is the change's offset in the log.
	Revision int64
}

// Proposer writes changes to the log.
type Proposer interface {
	// Propose appends a change to the log and returns once it was read back and
	// applied at this node. The error is a *result.Error: RevisionConflict with the
	// current revision; InvalidObject, UnknownObject or StillReferenced if the change
	// is not valid for the objects at its position in the log; LogUnavailable or
	// NodeStale if it was not written; ChangeExpired if the change is so old that its
	// outcome is no longer recorded; OutcomeUnknown if the outcome is not known yet.
	// A retry with the same ID is safe after each of them and returns the first
	// outcome.
	Propose(ctx context.Context, c Change) (Outcome, error)
}
