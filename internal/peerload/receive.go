package peerload

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/fleet"
)

// applyUnlistedWeights applies the weight versions that engines reported to peers. Each entry
// counts from the time of the engine's report, so that a late digest can't override a newer report.
func (e *Exchange) applyUnlistedWeights(reported []UnlistedWeights, now time.Time) {
	if len(reported) == 0 {
		return
	}
	member := e.memberLookup()
	for i := range reported {
		for at, id := range reported[i].Endpoints {
			if m := member(id); m != nil {
				m.RecordRelayedWeights(reported[i].report(at, now))
			}
		}
	}
}

// memberLookup returns a function that finds an endpoint by its id.
func (e *Exchange) memberLookup() func(id string) *fleet.Member {
	if e.config.Member != nil {
		return e.config.Member
	}
	byID := make(map[string]*fleet.Member)
	for _, m := range e.config.Members() {
		byID[m.ID] = m
	}
	return func(id string) *fleet.Member { return byID[id] }
}

// receiveDigest handles a digest of a peer.
func (e *Exchange) receiveDigest(params json.RawMessage) (any, error) {
	var d Digest
	if err := json.Unmarshal(params, &d); err != nil {
		return nil, eris.Wrap(err, "decode digest")
	}
	if err := d.check(); err != nil {
		return nil, err
	}
	now := e.config.Clock.Now()
	e.Table.Record(d, now)
	e.applyUnlistedWeights(d.UnlistedWeights, now)
	e.applyLimits(d.Limits, now)
	e.applyBrittle(d.Brittle, now)
	if d.Aggregate != nil {
		e.applyUnlistedWeights(d.Aggregate.UnlistedWeights, now)
		e.applyLimits(d.Aggregate.Limits, now)
		e.applyBrittle(d.Aggregate.Brittle, now)
	}
	return nil, nil
}
