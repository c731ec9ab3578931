package changelog

import "encoding/json"

// Schema decodes and validates the values of the state. Both methods must be
// deterministic: their results must depend only on their arguments. A new release
// must return the same results for records already written.
type Schema[V any] interface {
	// Decode returns the value of an object of the given kind. An error rejects the
	// change.
	// Snapshots share the returned value, so it must not be modified.
	Decode(kind string, raw json.RawMessage) (V, error)
	// Validate returns an error to reject a change. The snapshot is the state right
	// before the change and must not be retained. For a delete, value is zero.
	Validate(s *Snapshot[V], c Change, value V) error
}

// reducer applies changes to the state. The result depends only on the records.
type reducer[V any] struct {
	schema Schema[V]
	draft  *draft[V]
	window *dedupWindow
}

func newReducer[V any](schema Schema[V]) *reducer[V] {
	return &reducer[V]{schema: schema, draft: newDraft(newSnapshot[V]()), window: newDedupWindow()}
}

// applyChange applies the record of a change and returns its outcome. repeated
// reports that the change id is tracked; then the state does not change and the
// outcome is that of the first record.
func (r *reducer[V]) applyChange(offset int64, c Change) (o Outcome, repeated bool) {
	if first, ok := r.window.get(c.ID); ok {
		return first, true
	}
	o = r.decide(offset, c)
	if o.Status != Expired {
		r.window.add(c.ID, o)
	}
	return o, false
}

// decide applies or rejects a change whose id is not tracked.
func (r *reducer[V]) decide(offset int64, c Change) Outcome {
	current, _ := r.draft.Get(c.Kind, c.Key)
	if r.window.expired(c.Since) {
		return Outcome{Status: Expired, Offset: offset, Revision: current.Revision}
	}
	if c.BasedOn != current.Revision {
		return Outcome{Status: Conflict, Offset: offset, Revision: current.Revision}
	}
	if c.Op == OpDelete {
		return r.remove(offset, c, current.Revision)
	}
	return r.put(offset, c, current)
}

func (r *reducer[V]) remove(offset int64, c Change, revision int64) Outcome {
	var zero V
	if err := r.schema.Validate(&r.draft.Snapshot, c, zero); err != nil {
		return invalidOutcome(offset, revision, err)
	}
	r.draft.remove(Name{c.Kind, c.Key})
	return Outcome{Status: Accepted, Offset: offset}
}

func (r *reducer[V]) put(offset int64, c Change, current Object[V]) Outcome {
	revision := current.Revision
	raw := canonicalJSON(c.Value)
	value, err := r.schema.Decode(c.Kind, raw)
	if err != nil {
		return invalidOutcome(offset, revision, err)
	}
	if err := r.schema.Validate(&r.draft.Snapshot, c, value); err != nil {
		return invalidOutcome(offset, revision, err)
	}
	created := current.Created
	if created == 0 {
		created = offset
	}
	name := Name{c.Kind, c.Key}
	r.draft.put(Object[V]{Name: name, Revision: offset, Created: created, Value: value, raw: raw})
	return Outcome{Status: Accepted, Offset: offset, Revision: offset}
}
