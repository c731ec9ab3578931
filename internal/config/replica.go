package config

import (
	"context"
	"encoding/json"
	"errors"
	"iter"

	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/internal/result"
)

// Schema implements the changelog schema of the configuration.
type Schema struct{}

var _ changelog.Schema[Value] = Schema{}

// Decode implements changelog.Schema.
func (Schema) Decode(kind string, raw json.RawMessage) (Value, error) {
	return Decode(Kind(kind), raw)
}

// Validate implements changelog.Schema.
func (Schema) Validate(s *changelog.Snapshot[Value], c changelog.Change, value Value) error {
	if c.Op == changelog.OpDelete {
		return CheckDelete(snapshotState{s}, Kind(c.Kind), c.Key)
	}
	if value.GetName() != c.Key {
		return invalid(c.Kind+".name", "name %q: the change is for %q", value.GetName(), c.Key)
	}
	return CheckPut(snapshotState{s}, value)
}

// snapshotState implements State with a snapshot of the replicated state.
type snapshotState struct{ snapshot *changelog.Snapshot[Value] }

var _ State = snapshotState{}

// Find implements State.
func (r snapshotState) Find(kind Kind, name string) (Value, bool) {
	o, ok := r.snapshot.Get(string(kind), name)
	return o.Value, ok
}

// All implements State.
func (r snapshotState) All(kind Kind) iter.Seq[Value] {
	return func(yield func(Value) bool) {
		for o := range r.snapshot.All() {
			if o.Kind == string(kind) && !yield(o.Value) {
				return
			}
		}
	}
}

// Replica applies the changes in a node's copy of the replicated log to its Store.
type Replica struct {
	log   *changelog.Store[Value]
	store *Store
}

var _ Proposer = (*Replica)(nil)

// NewReplica returns a replica, which must be the only writer of store. Call Run to
// start it.
func NewReplica(log *changelog.Store[Value], store *Store) *Replica {
	return &Replica{log: log, store: store}
}

// Run applies the changes of the replicated state to the store until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	after := r.store.View().Applied()
	for {
		update, err := r.log.Watch(ctx, after)
		if err != nil {
			return err
		}
		r.applyUpdate(update)
		after = update.Snapshot.Applied()
	}
}

// applyUpdate applies one update to the store. If it writes an object several times,
// only the newest value is available, so the earlier writes are skipped.
func (r *Replica) applyUpdate(update changelog.Update[Value]) {
	applied := update.Snapshot.Applied()
	if update.Reset {
		r.store.Reset(applied, entries(update.Snapshot))
		return
	}
	for _, event := range update.Events {
		entry := Entry{Revision: event.Offset, Kind: Kind(event.Kind), Name: event.Key}
		if event.Op == changelog.OpPut {
			o, _ := update.Snapshot.Get(event.Kind, event.Key)
			if o.Revision != event.Offset {
				continue
			}
			entry.Created, entry.Value = o.Created, o.Value
		}
		r.store.Apply(entry)
	}
	r.store.Advance(applied)
}

func entries(s *changelog.Snapshot[Value]) iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for o := range s.All() {
			if !yield(Entry{Revision: o.Revision, Created: o.Created, Kind: Kind(o.Kind), Name: o.Key, Value: o.Value}) {
				return
			}
		}
	}
}

// Propose implements Proposer.
func (r *Replica) Propose(ctx context.Context, c Change) (Outcome, error) {
	if !r.log.Ready() {
		return Outcome{}, result.New(result.NodeStale)
	}
	snapshot := r.log.Snapshot()
	record := snapshot.Put(string(c.Kind), c.Name, c.Value)
	if c.Delete {
		record = snapshot.Delete(string(c.Kind), c.Name)
	}
	record.ID = c.ID
	record.BasedOn = c.BasedOn
	outcome, err := r.log.Propose(ctx, record)
	if err != nil {
		return Outcome{}, proposeError(err)
	}
	return Outcome{Revision: outcome.Offset}, nil
}

// proposeError converts an error of the replicated state to a result.
func proposeError(err error) error {
	var conflict *changelog.ConflictError
	var invalidErr *changelog.InvalidError
	switch {
	case errors.As(err, &conflict):
		return result.Wrap(err, result.RevisionConflict, result.WithRevision(conflict.Revision))
	case errors.As(err, &invalidErr):
		if coded, ok := result.ParseText(invalidErr.Reason); ok {
			return coded
		}
		return result.Wrap(err, result.InvalidObject, result.WithMessage("%s", invalidErr.Reason))
	case errors.Is(err, changelog.ErrUnknownOutcome):
		return result.Wrap(err, result.OutcomeUnknown)
	case errors.Is(err, changelog.ErrExpired):
		return result.Wrap(err, result.ChangeExpired)
	case errors.Is(err, changelog.ErrTooLarge):
		return result.Wrap(err, result.BodyTooLarge)
	case errors.Is(err, changelog.ErrNotReady):
		return result.Wrap(err, result.NodeStale)
	}
	return result.Wrap(err, result.LogUnavailable)
}
