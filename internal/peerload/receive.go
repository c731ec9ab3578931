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
	e.applyDigest(&d, e.Table.Record(d, now), now)
	return nil, nil
}

// applyDigest applies what endpoints reported to other nodes. Weight versions and limits of a digest
// that is not the latest one of its node are ignored: their ages don't include the time that the
// message took, so they would override the reports of the digest that overtook it. Reports of brittle
// services are not revoked, so that a late one overrides nothing.
func (e *Exchange) applyDigest(d *Digest, latest bool, now time.Time) {
	a := d.Aggregate
	if a == nil {
		a = &Aggregate{}
	}
	if latest {
		e.applyUnlistedWeights(d.UnlistedWeights, now)
		e.applyLimits(d.Limits, now)
		e.applyUnlistedWeights(a.UnlistedWeights, now)
		e.applyLimits(a.Limits, now)
	}
	e.applyBrittle(d.Brittle, now)
	e.applyBrittle(a.Brittle, now)
}
