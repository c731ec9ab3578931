package gateway

import (
	"github.com/cherryward/cherryward/internal/canary"
	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/quarantine"
)

// apply applies a record of the topic: a node's entry, or a record of another kind, which it passes on.
func (r *roster) apply(record *follow.Record) {
	switch {
	case quarantine.IsRecord(record.Key):
		r.pass(record, r.applyHoldRecord)
		return
	case canary.IsRecord(record.Key):
		r.pass(record, r.applyPhaseRecord)
		return
	case origin.IsReleaseRecord(record.Key):
		return // applyReleases receives it
	}
	if record.Value == nil {
		delete(r.entries, record.Key)
		return
	}
	e, err := decodeNode(record.Value)
	if err != nil {
		r.rejected.record(record, err)
		// This node writes its own entry again. The previous entry of another node stays: that node
		// may reference parts at stores, which must not be freed as if it were gone.
		if record.Key == r.node {
			delete(r.entries, record.Key)
		}
		return
	}
	r.entries[record.Key] = e
}

// pass passes a record to apply, which may be nil.
func (r *roster) pass(record *follow.Record, apply func(*follow.Record) error) {
	if apply == nil {
		return
	}
	if err := apply(record); err != nil {
		r.rejected.record(record, err)
	}
}
